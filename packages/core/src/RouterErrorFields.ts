import type { ExecutionStatus } from '#core/ExecutionStatus.js';
import type { Step } from '#core/Step.js';

/** Machine-readable part of a `RouterError`. */
export interface RouterErrorFields {
  /** Stable identifier in camel case, for example `notOwner`. */
  readonly code: string;
  /** Step at which the error occurred. */
  readonly step: Step;
  /** Server id, address or caller at the other end; empty if the error occurred locally. */
  readonly peer: string;
  /** Whether the request ran; `not run` for errors outside the request path. */
  readonly ran: ExecutionStatus;
  /** HTTP status of the response. */
  readonly status: number;
  /** Time after which the caller may retry, in milliseconds. */
  readonly retryAfterMs?: number;
  /** Addresses (`host:port`) that can serve the request. */
  readonly at?: readonly string[];
  /** Admission epoch that a non-repeatable request has to carry (`amr-epoch`). */
  readonly epoch?: string;
}
