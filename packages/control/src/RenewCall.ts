import type { Digest } from '#control/Digest.js';
import type { RenewRequest } from '#lease/RenewRequest.js';

/** Parameters of the call `renew`. */
export interface RenewCall {
  readonly request: RenewRequest;
  /** Name of the cell object that lists the holder. */
  readonly cell: string;
  readonly digest: Digest;
}
