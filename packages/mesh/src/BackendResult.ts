import type { BackendResponse } from '#mesh/BackendResponse.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { RefusalCode } from '#mesh/RefusalCode.js';
import type { LossCode } from '#mesh/LossCode.js';

/**
 * How a request to a backend server ended.
 * - `answered`: with a complete response of the backend server.
 * - `refused`: it has not run and never will.
 * - `lost`: it may have run, and no complete response was received.
 */
export type BackendResult =
  | { readonly type: 'answered'; readonly response: BackendResponse; readonly load: LoadReport | undefined }
  | {
      readonly type: 'refused';
      readonly code: RefusalCode;
      /** Time after which there may be capacity, in milliseconds; 0 if unknown. */
      readonly retryAfterMs: number;
      readonly load: LoadReport | undefined;
      /** Whether the backend server itself refused it, which counts as an arrival there. */
      readonly arrived: boolean;
    }
  | { readonly type: 'lost'; readonly code: LossCode; readonly load: LoadReport | undefined };
