import type { Tenant } from '#routes/Tenant.js';

/** Result of the check of a caller's API key. `tenant` is undefined if the request belongs to none. */
export type Authorization =
  { readonly type: 'authorized'; readonly tenant: Tenant | undefined } | { readonly type: 'unauthorized' };
