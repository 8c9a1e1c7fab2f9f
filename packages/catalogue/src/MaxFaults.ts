/** Faults that are reported at once: placing one costs a pass over the text, and nobody reads more of them. */
export const maxFaults = 100;
