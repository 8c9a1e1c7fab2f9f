import type { GuardName } from '#model/GuardName.js';

/** One exploration: the full protocol in a configuration, or the protocol without one guard. */
export type CheckJob =
  { readonly type: 'full'; readonly index: number } | { readonly type: 'guard'; readonly guard: GuardName };
