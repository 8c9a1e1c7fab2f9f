import type { Tenant } from '#routes/Tenant.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import type { HeaderPair } from '#mesh/HeaderPair.js';

/** Removes the API key and whatever the caller states as its tenant, and adds the name of the tenant. */
export function replaceTenantHeaders(
  headers: readonly HeaderPair[],
  tenant: Tenant | undefined,
  names: HeaderNames,
): readonly HeaderPair[] {
  const removed = [names.authorization.toLowerCase(), names.tenant.toLowerCase()];
  const kept = headers.filter(([name]) => !removed.includes(name.toLowerCase()));
  return tenant === undefined ? kept : [...kept, [names.tenant, tenant.name]];
}
