import type { Digest } from '#control/Digest.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Result of the call `renew`. */
export interface RenewResponse {
  readonly reply: RenewReply;
  readonly digest: Digest;
}
