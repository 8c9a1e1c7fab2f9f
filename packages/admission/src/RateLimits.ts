import type { EntryLimits } from '#catalogue/EntryLimits.js';

/** The limits of a catalogue entry that are counted at its admission. */
export type RateLimits = Pick<EntryLimits, 'ratePerSecond' | 'burst' | 'concurrency'>;
