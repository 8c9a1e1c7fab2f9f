import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';

/** Messages of the load generator; all but `start` are its own. */
export type LoadMessage =
  | { readonly type: 'start'; readonly reply: (report: LoadTestReport) => void }
  | { readonly type: 'tick' }
  | { readonly type: 'answered'; readonly call: Call; readonly answer: CallResponse }
  | { readonly type: 'repeat'; readonly call: Call }
  | { readonly type: 'confirmed'; readonly isAccepted: boolean }
  | { readonly type: 'expired' };
