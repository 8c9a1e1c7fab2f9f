import type { MeshView } from '#mesh/MeshView.js';

/** Receives each new view. */
export type ViewListener = (view: MeshView) => void;
