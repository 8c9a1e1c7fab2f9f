import type { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { Route } from '#routes/Route.js';
import type { BackendResponse } from '#mesh/BackendResponse.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { MeshExchangeEvent } from '#mesh/MeshExchangeEvent.js';
import type { DispatchAttempt } from '#mesh/DispatchAttempt.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

/** A caller's request at the daemon that it reached. */
export interface MeshExchange {
  readonly number: number;
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: string;
  /** Monotonic time at which the caller has its final answer at the latest, in milliseconds. */
  readonly dueMs: number;
  readonly cursor: ChartCursor<MeshExchangeEvent>;
  readonly reply: (reply: CallerReply) => void;
  readonly cancelDue: Cancel;
  readonly cancelWait: Cancel;
  /** The offer that is under way. */
  readonly offer: DispatchAttempt | undefined;
  readonly offers: number;
  /** Copies of its order that were sent. */
  readonly copies: number;
  /** Times that the request reached a backend server, also if that refused it. */
  readonly arrivals: number;
  /** Servers that are not offered it again. */
  readonly tried: ReadonlySet<string>;
  /** Whether a backend server may have run it. */
  readonly mayHaveRun: boolean;
  /** Failure of a backend server that is passed on if no other attempt succeeds. */
  readonly failure: BackendResponse | undefined;
  readonly lastRefusal: RefusalCode | undefined;
  readonly retryAfterMs: number;
  /** Monotonic time at which it began to wait for the owner of its key; undefined if it never did. */
  readonly waitingMs: number | undefined;
  /** Revision of the table of owners by which it was last sent. */
  readonly tableRevision: number;
}
