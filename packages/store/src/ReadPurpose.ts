/**
 * What a read is for: to look whether there is something newer, or for a change, either one that a peer told of or one
 * that a write is to follow.
 */
export type ReadPurpose = 'lookUp' | 'change';
