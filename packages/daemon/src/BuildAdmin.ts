import type { AdminBackend } from '#admin/AdminBackend.js';
import { CatalogueHistory } from '#daemon/CatalogueHistory.js';
import { DaemonAdminBackend } from '#daemon/DaemonAdminBackend.js';
import { FleetCaller } from '#daemon/FleetCaller.js';
import { FleetCells } from '#daemon/FleetCells.js';
import { LocalAdmin } from '#daemon/LocalAdmin.js';
import type { LocalLinks } from '#daemon/LocalLinks.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { Transport } from '#rpc/Transport.js';

/** Builds what answers the administration API and registers its methods for other daemons. */
export function buildAdmin(
  links: Omit<LocalLinks, 'cells'>,
  transport: Transport,
  store: ObjectStore,
): { readonly local: LocalAdmin; readonly backend: AdminBackend } {
  const { settings, clock, control, view } = links;
  const { serverId } = settings;
  const cells = new FleetCells(serverId, view, transport, store, clock);
  const local = new LocalAdmin({ ...links, cells });
  for (const [method, answer] of local.methods) transport.handle(method, (params) => answer(params));
  const caller = new FleetCaller(serverId, transport, local.methods);
  const history = new CatalogueHistory(store, serverId);
  const backend = new DaemonAdminBackend({
    serverId,
    clock,
    store,
    history,
    cells,
    caller,
    local,
    control,
    view,
  });
  return { local, backend };
}
