import type { View } from '#mesh/View.js';

/** Receives each new view. */
export type ViewListener = (view: View) => void;
