import type { PromiseReply } from '#lease/PromiseReply.js';
import type { RenewReply } from '#lease/RenewReply.js';
import type { RenewRequest } from '#lease/RenewRequest.js';

/** A message in transit between a process (by index) and a witness; it may arrive at any later time. */
export type ModelMessage =
  | {
      readonly type: 'renew';
      readonly process: number;
      readonly witness: number;
      readonly request: RenewRequest;
    }
  | {
      readonly type: 'renewReply';
      readonly process: number;
      readonly witness: number;
      readonly reply: RenewReply;
    }
  | {
      readonly type: 'promiseReply';
      readonly process: number;
      readonly witness: number;
      readonly fenceId: number;
      readonly reply: PromiseReply;
    };
