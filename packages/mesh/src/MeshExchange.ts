import type { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { Route } from '#routes/Route.js';
import type { Tenant } from '#routes/Tenant.js';
import type { BackendResponse } from '#mesh/BackendResponse.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import type { MeshExchangeEvent } from '#mesh/MeshExchangeEvent.js';
import type { DispatchAttempt } from '#mesh/DispatchAttempt.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';

/** State of a caller's request at the daemon that received it. */
export interface MeshExchange {
  readonly number: number;
  readonly request: CallerRequest;
  /** The route, with the priority and the home regions of the tenant. */
  readonly route: Route;
  /** Undefined if the request belongs to no tenant. */
  readonly tenant: Tenant | undefined;
  readonly service: string;
  /** Whether the backend server on the VM of this daemon sent it while it ran another request. */
  readonly isCall: boolean;
  /** Whether its target latency is short compared with that of other requests of the service, as that of calls is. */
  readonly isShort: boolean;
  /** Deadline of the final reply: monotonic time, in milliseconds. */
  readonly dueMs: number;
  readonly cursor: ChartCursor<MeshExchangeEvent>;
  readonly reply: (reply: CallerReply) => void;
  readonly cancelDue: Cancel;
  readonly cancelWait: Cancel;
  /** The current attempt; undefined between attempts. */
  readonly attempt: DispatchAttempt | undefined;
  /** Number of attempts so far; restarts at one after a wait for the owner of the key. */
  readonly offers: number;
  /** Number of copies that were sent, including those resent within an attempt. */
  readonly copies: number;
  /** Number of times the request reached a backend server, even if that refused it. */
  readonly arrivals: number;
  /** Servers that are not tried again. */
  readonly tried: ReadonlySet<string>;
  /** Whether a backend server may have run it. */
  readonly mayHaveRun: boolean;
  /** Error response of a backend server that is forwarded if no other attempt succeeds. */
  readonly failure: BackendResponse | undefined;
  readonly lastRefusal: RefusalCode | undefined;
  /** Longest time after which a server that refused the request expects capacity, in milliseconds. */
  readonly retryAfterMs: number;
  /** Monotonic time since which it waits for the owner of its key; undefined if it never did. */
  readonly waitingMs: number | undefined;
  /** Revision of the range table by which the owner was last chosen. */
  readonly tableRevision: number;
}
