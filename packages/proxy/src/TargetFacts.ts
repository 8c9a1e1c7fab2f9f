import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import type { RequestHead } from '#proxy/RequestHead.js';

/** Properties of a request and of the entry daemon that the choice of a target depends on. */
export interface TargetFacts {
  readonly head: RequestHead;
  readonly checked: CheckedRequest;
  readonly region: string;
  readonly failureDomain: string;
  /** Servers that were already tried for this request, or that are ejected as outliers. */
  readonly excluded: ReadonlySet<string>;
}
