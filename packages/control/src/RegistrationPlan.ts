import type { Cell } from '#assignment/Cell.js';

/** Result of `planRegistration`; `replaced` means that another process now has the server id of this daemon. */
export type RegistrationPlan =
  { readonly type: 'write'; readonly cell: Cell } | { readonly type: 'keep' } | { readonly type: 'replaced' };
