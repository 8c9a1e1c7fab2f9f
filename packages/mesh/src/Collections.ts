/** Names by which the daemon addresses the store's collections. */
export const collections = Object.freeze({
  routes: 'routes',
  evacuations: 'evacuations',
  servers: 'servers',
  ranges: 'ranges',
  leases: 'leases',
  crashes: 'crashes',
});
