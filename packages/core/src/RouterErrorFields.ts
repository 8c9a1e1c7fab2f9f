import type { ExecutionStatus } from '#core/ExecutionStatus.js';
import type { Step } from '#core/Step.js';

/** Machine-readable part of a `RouterError`. */
export interface RouterErrorFields {
  /** Stable identifier in camel case, for example `notOwner`. */
  readonly code: string;
  /** Step at which the error arose. */
  readonly step: Step;
  /** Server id, address or caller at the other end; empty if the error arose locally. */
  readonly peer: string;
  /** Whether the request ran; `not run` for errors outside the request path. */
  readonly ran: ExecutionStatus;
  /** HTTP status for callers. */
  readonly status: number;
  /** Time after which a new attempt is reasonable, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Addresses (`host:port`) that can serve the request. */
  readonly at?: readonly string[];
  /** Admission epoch that a non-repeatable request has to carry (`amr-epoch`). */
  readonly epoch?: string;
}
