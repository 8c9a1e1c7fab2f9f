import type { CrashMark } from '#admission/CrashMark.js';

/** Crash mark of a request, with the team, service and class by which operators recognize it. */
export interface RequestMark extends CrashMark {
  readonly team: string;
  readonly service: string;
  readonly class: string;
}
