import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** A catalogue entry: the rules for one class of requests from one team to one service. */
export interface Entry {
  /** Name of the owning team. */
  readonly owner: string;
  readonly service: string;
  readonly class: string;
  /** Whether a request may safely run more than once. */
  readonly repeatable: boolean;
  /**
   * Evidence by which a response counts as delivered: a receipt of the caller, or a complete write to an open socket.
   */
  readonly evidence: 'receipt' | 'sent';
  /** Regions in which requests may be served, forwarded and stored; empty for all regions. */
  readonly homeRegions: readonly string[];
  readonly limits: EntryLimits;
}
