import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';

/** Messages of the load generator, which posts all but `start` to itself. */
export type LoadMessage =
  | { readonly type: 'start'; readonly reply: (report: LoadTestReport) => void }
  | { readonly type: 'tick' }
  | { readonly type: 'answered'; readonly call: Call; readonly response: CallResponse }
  | { readonly type: 'repeat'; readonly call: Call }
  | { readonly type: 'confirmed'; readonly isAccepted: boolean }
  | { readonly type: 'expired' };
