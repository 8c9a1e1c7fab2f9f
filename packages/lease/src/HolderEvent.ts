import type { RenewReply } from '#lease/RenewReply.js';

/** Events of a holder. Times are of its monotonic clock. */
export type HolderEvent =
  /** A write of a new epoch begins. Until its result is known, renewals sent after `startedMs` extend no lease. */
  | { readonly type: 'registering'; readonly startedMs: number }
  /** The store accepted this epoch; the write began at `startedMs`. */
  | {
      readonly type: 'registered';
      readonly epoch: number;
      readonly witnesses: readonly string[];
      readonly startedMs: number;
      readonly nowMs: number;
    }
  /**
   * It is certain that the write never takes effect: the store refused it, or a newer version of the object lacks its
   * mark. A read that shows the version from before the write is not enough, since the write may still arrive.
   */
  | { readonly type: 'registrationRefused'; readonly nowMs: number }
  | { readonly type: 'tick'; readonly nowMs: number }
  | ({ readonly type: 'renewReply'; readonly witness: string; readonly nowMs: number } & RenewReply);
