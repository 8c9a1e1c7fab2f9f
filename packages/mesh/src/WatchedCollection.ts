/** Name of a store collection that each daemon watches. */
export type WatchedCollection = 'routes' | 'evacuations' | 'servers' | 'ranges';
