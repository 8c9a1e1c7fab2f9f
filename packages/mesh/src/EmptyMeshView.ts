import type { MeshView } from '#mesh/MeshView.js';

/** View of a daemon that has read nothing yet. */
export const emptyMeshView: MeshView = Object.freeze({
  routes: undefined,
  evacuated: new Set<string>(),
  servers: new Map(),
  tables: new Map(),
  revisions: [],
  complete: false,
});
