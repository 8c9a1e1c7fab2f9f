import type { GuardName } from '#model/GuardName.js';

/** An exploration of the full protocol in one configuration, or of the protocol without one guard. */
export type CheckJob =
  { readonly type: 'full'; readonly index: number } | { readonly type: 'guard'; readonly guard: GuardName };
