import type { QuotaMember } from '#tenants/QuotaMember.js';
import type { MeshView } from '#mesh/MeshView.js';

/**
 * Lists the daemons that may divide the rate limits of tenants. One whose backend server has left is not among them: its VM is
 * often removed, and nobody removes its entry. Other states change with each restart of a backend server and do not matter.
 */
export function listQuotaMembers({ servers }: MeshView): readonly QuotaMember[] {
  return [...servers.values()].filter(({ state }) => state !== 'gone');
}
