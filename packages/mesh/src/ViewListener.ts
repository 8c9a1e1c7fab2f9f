import type { MeshView } from '#mesh/MeshView.js';

/** Callback that receives each new view of the fleet. */
export type ViewListener = (view: MeshView) => void;
