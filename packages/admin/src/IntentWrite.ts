import type { Intent } from '#control/Intent.js';

/** Conditional write of the operator intent. */
export interface IntentWrite {
  /** Version that it replaces; 0 if there is none yet. */
  readonly expectedVersion: number;
  readonly author: string;
  readonly intent: Intent;
}
