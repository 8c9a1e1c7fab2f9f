import type { ControlPlane } from '#control/ControlPlane.js';
import type { Clock } from '#core/Clock.js';
import type { CatalogueHistory } from '#daemon/CatalogueHistory.js';
import type { FleetCaller } from '#daemon/FleetCaller.js';
import type { FleetCells } from '#daemon/FleetCells.js';
import type { FleetView } from '#daemon/FleetView.js';
import type { LocalAdmin } from '#daemon/LocalAdmin.js';
import type { ObjectStore } from '#store/ObjectStore.js';

/** What `DaemonAdminBackend` answers from. */
export interface AdminLinks {
  readonly serverId: string;
  readonly clock: Clock;
  readonly store: ObjectStore;
  readonly history: CatalogueHistory;
  readonly cells: FleetCells;
  readonly caller: FleetCaller;
  readonly local: LocalAdmin;
  /** The control plane in use; it is replaced when the backend server returns. */
  readonly control: () => ControlPlane;
  readonly view: () => FleetView;
}
