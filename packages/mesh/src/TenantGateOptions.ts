import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { Tenant } from '#routes/Tenant.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import type { TenantMetrics } from '#tenants/TenantMetrics.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';

/** Collaborators of `TenantGate`. */
export interface TenantGateOptions {
  readonly headers: HeaderNames;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: TenantMetrics;
  /** Asks whether a request is within the rate limit of its tenant. */
  readonly admit: (tenant: Tenant, decide: (decision: QuotaDecision) => void) => void;
}
