import type { AdminBackend } from '#admin/AdminBackend.js';
import { CatalogueHistory } from '#daemon/CatalogueHistory.js';
import { DaemonAdminBackend } from '#daemon/DaemonAdminBackend.js';
import { FleetCaller } from '#daemon/FleetCaller.js';
import { FleetCells } from '#daemon/FleetCells.js';
import { LocalAdmin } from '#daemon/LocalAdmin.js';
import type { LocalAdminDependencies } from '#daemon/LocalAdminDependencies.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { Transport } from '#rpc/Transport.js';

/** Builds the backend of the administration API and registers the RPC methods that other daemons call. */
export function buildAdmin(
  deps: Omit<LocalAdminDependencies, 'cells'>,
  transport: Transport,
  store: ObjectStore,
): { readonly local: LocalAdmin; readonly backend: AdminBackend } {
  const { settings, clock, control, view } = deps;
  const { serverId } = settings;
  const cells = new FleetCells(serverId, view, transport, store, clock);
  const local = new LocalAdmin({ ...deps, cells });
  for (const [method, handle] of local.methods) transport.handle(method, (params) => handle(params));
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
