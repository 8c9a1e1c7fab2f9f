import type { WatchedCollection } from '#mesh/WatchedCollection.js';

/** The watched collections, in the order of their revisions in messages between daemons. */
export const watchedCollections: readonly WatchedCollection[] = [
  'routes',
  'servers',
  'ranges',
  'evacuations',
];
