import type { Step } from '#core/Step.js';

/** Values of one log line. Request bodies and keys of teams are never logged. */
export interface LogFields {
  readonly step?: Step;
  readonly peer?: string;
  readonly [key: string]: string | number | boolean | undefined;
}
