import type { View } from '#mesh/View.js';

/** View of a daemon that has read nothing yet. */
export const emptyView: View = Object.freeze({
  routes: undefined,
  evacuated: new Set<string>(),
  servers: new Map(),
  tables: new Map(),
  revisions: [],
  complete: false,
});
