import type { SecondCopy } from '#hedging/SecondCopy.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

/** Receives the result of a request to a backend server, and its second copy if it was hedged; called once. */
export type BackendResultCallback = (
  result: BackendResult,
  second?: SecondCopy<ServerEntry, BackendResult>,
) => void;
