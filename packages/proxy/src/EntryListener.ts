import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { Member } from '#assignment/Member.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { EntryEnd } from '#proxy/EntryEnd.js';

/** Receives what the entry task reports to the rest of the daemon. */
export interface EntryListener {
  /** Called once for each caller request that ended. */
  readonly onEnd: (end: EntryEnd) => void;
  /** Called with the outcome of a response that required a receipt, `wholeMs` after the arrival of its request. */
  readonly onReceipt: (team: string, requestClass: string, outcome: Outcome, wholeMs: number) => void;
  /** Called if a cell is missing, or if a response showed that the known version is outdated. */
  readonly onCellNeeded: (service: string, index: number) => void;
  /** Sends a quota request to the daemon that holds the limits of an entry; its grant comes back as message `slice`. */
  readonly onQuotaRequest: (holder: Member, request: QuotaRequest) => void;
}
