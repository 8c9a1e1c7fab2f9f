import type { SoakEnvironment } from '#soak/SoakEnvironment.js';

/** What the script of a case works with. */
export interface CaseContext {
  readonly environment: SoakEnvironment;
  /** Whether the disruption takes place. */
  readonly trouble: boolean;
  /** Adds a line with the time since the start to the record of the case. */
  readonly record: (line: string) => void;
}
