import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { Member } from '#assignment/Member.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { EntryEnd } from '#proxy/EntryEnd.js';

/** What the entry task tells the rest of the daemon. */
export interface EntryListener {
  /** One request of a caller ended. */
  readonly onEnd: (end: EntryEnd) => void;
  /** The outcome of an answer that needed a receipt is known, `wholeMs` after the arrival of its request. */
  readonly onReceipt: (team: string, requestClass: string, outcome: Outcome, wholeMs: number) => void;
  /** A cell is missing, or an answer showed that it is out of date. */
  readonly onCellNeeded: (service: string, index: number) => void;
  /** Asks another daemon, the holder of an entry's limits, for a slice; its reply comes back as the message `slice`. */
  readonly onQuotaAsk: (holder: Member, ask: QuotaRequest) => void;
}
