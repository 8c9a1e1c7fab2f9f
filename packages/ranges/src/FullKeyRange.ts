import type { KeyRange } from '#ranges/KeyRange.js';

/** All keys of a service. */
export const fullKeyRange: KeyRange = Object.freeze({ from: 0, to: 65_535 });
