import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { ControlPlane } from '#control/ControlPlane.js';
import type { FleetCells } from '#daemon/FleetCells.js';
import type { FleetView } from '#daemon/FleetView.js';
import type { StoreMeter } from '#daemon/StoreMeter.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { OwnerTask } from '#proxy/OwnerTask.js';
import type { TransportStats } from '#rpc/TransportStats.js';
import type { Settings } from '#settings/Settings.js';

/** Parts of the daemon that `LocalAdmin` reads. */
export interface LocalAdminDependencies {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly random: RandomSource;
  /** The current control plane; the daemon builds a new one when its backend server returns. */
  readonly control: () => ControlPlane;
  readonly owner: OwnerTask;
  readonly metrics: MetricsRecorder;
  readonly meter: StoreMeter;
  readonly cells: FleetCells;
  readonly view: () => FleetView;
  readonly transportStats: () => TransportStats;
}
