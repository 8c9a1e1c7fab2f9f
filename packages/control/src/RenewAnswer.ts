import type { Digest } from '#control/Digest.js';
import type { RenewReply } from '#lease/RenewReply.js';

/** Result of the call `renew`. */
export interface RenewAnswer {
  readonly reply: RenewReply;
  readonly digest: Digest;
}
