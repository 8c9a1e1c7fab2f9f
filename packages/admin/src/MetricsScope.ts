/** Daemons whose measurements are asked for: the answering one, those of its cells, or all. */
export type MetricsScope = 'daemon' | 'cells' | 'fleet';
