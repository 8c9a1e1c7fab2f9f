import type { DaemonStatus } from '#admin/DaemonStatus.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import type { StoreMeter } from '#daemon/StoreMeter.js';
import type { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { TransportStats } from '#rpc/TransportStats.js';

/** Sets the gauges of a daemon, and raises the counters that other tasks keep, to their present values. */
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
  metrics.raise('storeCalls', meter.callCount);
  metrics.raise('storeFailures', status.store.failures);
  metrics.raise('renewalsGranted', lease.granted);
  metrics.raise('renewalsLost', lease.lost);
  metrics.raise('controlBytesSent', stats.bytesSent);
}
