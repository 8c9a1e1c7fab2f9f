import { Logger } from '#core/Logger.js';
import { SystemClock } from '#core/SystemClock.js';
import { TenantMetrics } from '#tenants/TenantMetrics.js';
import { TenantGate } from '#mesh/TenantGate.js';
import type { TenantGateOptions } from '#mesh/TenantGateOptions.js';
import { testHeaders } from './TestHeaders.js';

/** Creates a gate that admits the requests of all tenants. */
export function createTestGate(change: Partial<TenantGateOptions> = {}): TenantGate {
  return new TenantGate({
    headers: testHeaders,
    clock: new SystemClock(),
    logger: new Logger('test'),
    metrics: new TenantMetrics(),
    admit: (_tenant, decide) => decide({ admitted: true }),
    ...change,
  });
}
