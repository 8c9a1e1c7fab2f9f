import type { BackendResult } from '#mesh/BackendResult.js';

/** Receives the result of a request to a backend server; called once. */
export type BackendResultCallback = (result: BackendResult) => void;
