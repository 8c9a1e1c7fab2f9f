/** Names of the collections in the store, as the daemon uses them. */
export const collections = Object.freeze({
  routes: 'routes',
  evacuations: 'evacuations',
  servers: 'servers',
  ranges: 'ranges',
  leases: 'leases',
});
