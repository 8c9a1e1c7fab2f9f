import type { CallerRequest } from '#mesh/CallerRequest.js';

/** A request on its way from the daemon that a caller reached to the daemon beside a backend server. */
export interface BackendRequest {
  readonly request: CallerRequest;
  readonly service: string;
  /** Service of the VM at which the request arose. */
  readonly callerService: string;
  readonly idempotent: boolean;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly targetLatencyMs: number;
  /** Monotonic time of this process after which the answer is late, in milliseconds. */
  readonly targetMs: number;
  /** Monotonic time of this process at which the answer is due, in milliseconds. */
  readonly dueMs: number;
  /** Run of the daemon that already received this order; only that run may continue it. Empty for a new order. */
  readonly resumes: string;
  /** Number of this copy among those that the sending daemon sent to any server for the same caller's request. */
  readonly copy: number;
}
