/** Daemons whose metrics are requested: the one that responds, all members of its cells, or the whole fleet. */
export type MetricsScope = 'daemon' | 'cells' | 'fleet';
