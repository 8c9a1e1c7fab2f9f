import type { Intent } from '#control/Intent.js';

/** Operator intent that the store has accepted. */
export interface VersionedIntent {
  /** Version of the object in the store; 0 if there is none yet. */
  readonly version: number;
  readonly author: string;
  readonly intent: Intent;
}
