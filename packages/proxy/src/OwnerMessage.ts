import type { AdoptRequest } from '#control/AdoptRequest.js';
import type { CellUpdate } from '#control/CellUpdate.js';
import type { OwnershipUpdate } from '#control/OwnershipUpdate.js';
import type { ShardReleaseRequest } from '#control/ShardReleaseRequest.js';
import type { BackendSignal } from '#proxy/BackendSignal.js';
import type { MarkedRequest } from '#proxy/MarkedRequest.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { RequestMark } from '#proxy/RequestMark.js';

/** Messages that the owner task receives. */
export type OwnerMessage =
  | OwnershipUpdate
  | CellUpdate
  | ShardReleaseRequest
  | AdoptRequest
  | BackendSignal
  | {
      readonly type: 'order';
      readonly request: RoutedRequest;
      readonly needsOwnership: boolean;
      readonly graceMs: number;
    }
  | { readonly type: 'cancel'; readonly orderId: string }
  | { readonly type: 'bodyHashed'; readonly orderId: string; readonly bodyHash: string }
  | { readonly type: 'marks'; readonly marks: readonly RequestMark[] }
  | { readonly type: 'held'; readonly reply: (rows: readonly MarkedRequest[]) => void }
  | { readonly type: 'lift'; readonly fingerprint: string; readonly reply: (lifted: boolean) => void }
  | { readonly type: 'drain'; readonly reply: () => void }
  | { readonly type: 'report'; readonly reply: (report: OwnerReport) => void }
  | { readonly type: 'tick' };
