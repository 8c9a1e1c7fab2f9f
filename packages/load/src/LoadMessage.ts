import type { Answer } from '#load/Answer.js';
import type { Call } from '#load/Call.js';
import type { LoadReport } from '#load/LoadReport.js';

/** Messages of the load generator; all but `start` are its own. */
export type LoadMessage =
  | { readonly type: 'start'; readonly reply: (report: LoadReport) => void }
  | { readonly type: 'tick' }
  | { readonly type: 'answered'; readonly call: Call; readonly answer: Answer }
  | { readonly type: 'repeat'; readonly call: Call }
  | { readonly type: 'confirmed'; readonly isAccepted: boolean }
  | { readonly type: 'expired' };
