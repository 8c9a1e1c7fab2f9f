import type { ExecutionStatus } from '#core/ExecutionStatus.js';

/** A caller received the response to one attempt. */
export interface ResponseEvent {
  readonly type: 'response';
  readonly requestId: string;
  readonly attempt: number;
  /** Team on whose connection the response arrived. */
  readonly team: string;
  readonly status: number;
  readonly ran: ExecutionStatus;
  /** Whether the body is, byte for byte, the expected one; always true for refusals. */
  readonly isContentRight: boolean;
  readonly atMs: number;
}
