import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** The rules for one class of traffic of one team to one service. */
export interface Entry {
  /** Name of the owning team. */
  readonly owner: string;
  readonly service: string;
  readonly class: string;
  /** Whether a request may run more than once. */
  readonly repeatable: boolean;
  /** Evidence that counts an answer as delivered: a receipt by the caller, or a complete write to an open socket. */
  readonly evidence: 'receipt' | 'sent';
  /** Regions in which the request may be served, forwarded and stored; empty for any. */
  readonly homeRegions: readonly string[];
  readonly limits: EntryLimits;
}
