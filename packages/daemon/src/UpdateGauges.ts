import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { StoreMeter } from '#daemon/StoreMeter.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { TransportStats } from '#rpc/TransportStats.js';

/** Sets the gauges of a daemon, and the counters whose totals are kept elsewhere, to their current values. */
export function updateGauges(
  metrics: MetricsRecorder,
  status: DaemonStatus,
  lease: LeaseStatus,
  owner: OwnerReport,
  stats: TransportStats,
  meter: StoreMeter,
): void {
  metrics.setGauge('catalogueVersion', status.catalogueVersion);
  metrics.setGauge('intentVersion', status.intentVersion);
  metrics.setGauge('ownedShards', status.ownedShards);
  metrics.setGauge('queueLength', owner.waiting);
  metrics.setGauge('slotsInUse', owner.running);
  metrics.setGauge('slotLimit', status.backend.slotLimit);
  metrics.setGauge('onceRecords', owner.onceRecords);
  metrics.setGauge('leaseLeftMs', status.leaseLeftMs);
  metrics.setGauge('storeReachable', status.store.reachable ? 1 : 0);
  metrics.setCounter('storeCalls', meter.callCount);
  metrics.setCounter('storeFailures', status.store.failures);
  metrics.setCounter('renewalsGranted', lease.granted);
  metrics.setCounter('renewalsLost', lease.lost);
  metrics.setCounter('controlBytesSent', stats.bytesSent);
}
