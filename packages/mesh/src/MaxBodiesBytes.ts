/**
 * Limit of the total size of bodies that one task reads at the same time; a daemon may use 250 MB of memory in
 * all.
 */
export const maxBodiesBytes = 24 * 1024 * 1024;
