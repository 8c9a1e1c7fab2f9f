/** Collections that each daemon follows. */
export type WatchedCollection = 'routes' | 'evacuations' | 'servers' | 'ranges';
