import type { WatchedCollection } from '#mesh/WatchedCollection.js';

/** The watched collections in the order in which daemons tell each other their revisions. */
export const watchedCollections: readonly WatchedCollection[] = [
  'routes',
  'servers',
  'ranges',
  'evacuations',
];
