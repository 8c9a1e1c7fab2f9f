import type { Intent } from '#control/Intent.js';

/** A newer operator intent that the store has accepted. */
export interface IntentUpdate {
  readonly type: 'intent';
  readonly version: number;
  readonly intent: Intent;
}
