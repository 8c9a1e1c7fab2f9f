import type { RequestBody } from '#proxy/RequestBody.js';
import type { Target } from '#proxy/Target.js';

/** The present attempt of an exchange. */
export interface Attempt {
  readonly body: RequestBody;
  /** Where the order went; undefined before it is sent and after it has ended. */
  readonly target: Target | undefined;
  /** Servers that were tried for a request without a key. */
  readonly tried: ReadonlySet<string>;
  readonly startedMs: number;
  /** Holds back the sender of the answer; undefined before its head. */
  readonly pause: (() => void) | undefined;
}
