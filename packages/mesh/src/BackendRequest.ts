import type { CallerRequest } from '#mesh/CallerRequest.js';

/** A caller's request as sent from the daemon that received it to the daemon of a backend server. */
export interface BackendRequest {
  readonly callerRequest: CallerRequest;
  readonly service: string;
  /** Service of the VM from which the caller sent it. */
  readonly callerService: string;
  readonly idempotent: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Monotonic time of this process after which the response misses the target latency, in milliseconds. */
  readonly targetMs: number;
  /** Deadline of the response: monotonic time of this process, in milliseconds. */
  readonly dueMs: number;
  /**
   * Process id of the daemon to which this request was already sent; only that process may continue it. Empty for a
   * new request.
   */
  readonly resumes: string;
  /**
   * Number of this copy, counted over all that the sender sent to any backend server for the caller's request.
   */
  readonly copy: number;
  /** Whether a backend server sent it while it ran another request. */
  readonly isCall?: boolean;
}
