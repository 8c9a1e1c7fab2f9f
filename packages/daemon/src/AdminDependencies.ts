import type { ControlPlane } from '#control/ControlPlane.js';
import type { Clock } from '#core/Clock.js';
import type { CatalogueHistory } from '#daemon/CatalogueHistory.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';
import type { FleetCells } from '#daemon/FleetCells.js';
import type { FleetView } from '#daemon/FleetView.js';
import type { LocalAdmin } from '#daemon/LocalAdmin.js';
import type { ObjectStore } from '#store/ObjectStore.js';

/** Parts of the daemon that `DaemonAdminBackend` uses. */
export interface AdminDependencies {
  readonly serverId: string;
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly history: CatalogueHistory;
  readonly cells: FleetCells;
  readonly caller: FleetCaller;
  readonly local: LocalAdmin;
  /** The current control plane; the daemon builds a new one when its backend server returns. */
  readonly control: () => ControlPlane;
  readonly view: () => FleetView;
}
