/**
 * Maximum number of faults that are reported for a document; finding the position of each takes a pass over the text.
 */
export const maxFaults = 100;
