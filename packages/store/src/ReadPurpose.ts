/**
 * Purpose of a read, which decides on its share of the call budget. `lookUp` checks for a newer version; `change` reads
 * an object that a peer reported as changed or that is about to be written.
 */
export type ReadPurpose = 'lookUp' | 'change';
