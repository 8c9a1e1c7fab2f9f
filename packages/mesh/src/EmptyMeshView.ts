import type { MeshView } from '#mesh/MeshView.js';

/** View before anything was read from the store. */
export const emptyMeshView: MeshView = Object.freeze({
  routes: undefined,
  evacuated: new Set<string>(),
  servers: new Map(),
  tables: new Map(),
  revisions: [],
  complete: false,
});
