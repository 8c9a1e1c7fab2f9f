import type { Cell } from '#assignment/Cell.js';

/** What a daemon does about its entry in a cell; `replaced` means that another process has its server id now. */
export type RegistrationPlan =
  { readonly type: 'write'; readonly cell: Cell } | { readonly type: 'keep' } | { readonly type: 'replaced' };
