import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** The limits of a catalogue entry that are enforced at admission. */
export type RateLimits = Pick<EntryLimits, 'ratePerSecond' | 'burst' | 'concurrency'>;
