import type { Intent } from '#control/Intent.js';

/** Operator intent that is to replace the version that its author has seen. */
export interface IntentWrite {
  readonly expectedVersion: number;
  readonly author: string;
  readonly intent: Intent;
}
