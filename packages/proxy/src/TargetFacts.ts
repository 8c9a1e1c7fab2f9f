import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** What the choice of a target depends on. */
export interface TargetFacts {
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  readonly region: string;
  readonly failureDomain: string;
  /** Servers that were tried for this request or that are ejected. */
  readonly excluded: ReadonlySet<string>;
}
