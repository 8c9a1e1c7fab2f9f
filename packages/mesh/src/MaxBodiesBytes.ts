/** Bytes of all bodies that one task reads at the same time at most; a daemon may have 250 MB of memory in all. */
export const maxBodiesBytes = 24 * 1024 * 1024;
