import type { Intent } from '#control/Intent.js';

/** The intent of operators before any change. */
export const emptyIntent: Intent = { withdrawals: [], confirmedLost: [] };
