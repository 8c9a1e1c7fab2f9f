import type { LeaseConfig } from '#lease/LeaseConfig.js';
import type { Timings } from '#settings/Timings.js';

const PROMISE_AGE_FACTOR = 2;
/** Must exceed the promise age, so that a restarted witness stays silent while its last promise may still count. */
const SILENT_FACTOR = 2.5;

/** Derives W = L x (1 + D), P = 2 W and Q = 2.5 W from the settings; docs/design.md, section 6. */
export function createLeaseConfig(
  timings: Pick<Timings, 'leaseMs' | 'renewEveryMs' | 'clockDrift'>,
): LeaseConfig {
  const { leaseMs, renewEveryMs, clockDrift } = timings;
  const witnessExpiryMs = Math.ceil(leaseMs * (1 + clockDrift));
  return {
    leaseMs,
    renewEveryMs,
    clockDrift,
    witnessExpiryMs,
    promiseMaxAgeMs: PROMISE_AGE_FACTOR * witnessExpiryMs,
    silentMs: Math.ceil(SILENT_FACTOR * witnessExpiryMs),
  };
}
