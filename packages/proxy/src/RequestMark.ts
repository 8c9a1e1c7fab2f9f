import type { CrashMark } from '#admission/CrashMark.js';

/** Mark of a request that was in flight at a death, with what operators need to recognize the request. */
export interface RequestMark extends CrashMark {
  readonly team: string;
  readonly service: string;
  readonly class: string;
}
