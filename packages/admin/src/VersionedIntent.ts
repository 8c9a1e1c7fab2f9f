import type { Intent } from '#control/Intent.js';

/** Operator intent with its version in the store. */
export interface VersionedIntent {
  /** Version of the object in the store; 0 if there is none yet. */
  readonly version: number;
  readonly author: string;
  readonly intent: Intent;
}
