import type { BackendResult } from '#mesh/BackendResult.js';

/** Receives the result of an order, once. */
export type BackendResultCallback = (result: BackendResult) => void;
