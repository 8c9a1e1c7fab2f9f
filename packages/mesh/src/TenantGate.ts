import { LogSampler } from '#core/LogSampler.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { Route } from '#routes/Route.js';
import type { RouteTable } from '#routes/RouteTable.js';
import type { Tenant } from '#routes/Tenant.js';
import { authorize } from '#tenants/Authorize.js';
import { bindRoute } from '#tenants/BindRoute.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import type { CallerRefusal } from '#mesh/CallerRefusal.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';
import { replaceTenantHeaders } from '#mesh/ReplaceTenantHeaders.js';
import type { TenantAccess } from '#mesh/TenantAccess.js';
import type { TenantGateOptions } from '#mesh/TenantGateOptions.js';

/** Maximum number of log lines per second for each reason to refuse a request. */
const MAX_LINES_PER_SECOND = 5;

const UNAUTHORIZED: CallerRefusal = { type: 'refusal', status: 401, code: 'unauthorized', retryAfterMs: 0 };
const NO_REGION: CallerRefusal = { type: 'refusal', status: 503, code: 'noServer', retryAfterMs: 0 };

/** Checks the API keys and rate limits of callers' requests, and applies the rules of their tenants. */
export class TenantGate {
  private readonly options: TenantGateOptions;
  private readonly unauthorizedLines = new LogSampler(MAX_LINES_PER_SECOND);
  private readonly regionLines = new LogSampler(MAX_LINES_PER_SECOND);
  private readonly quotaLines = new LogSampler(MAX_LINES_PER_SECOND);

  public constructor(options: TenantGateOptions) {
    this.options = options;
  }

  /** Checks the API key of a request. Without tenants in the configuration, every request passes unchanged. */
  public check(request: CallerRequest, route: Route, table: RouteTable): TenantAccess {
    if (table.tenants.size === 0) return { type: 'passed', request, route, tenant: undefined };
    const access = authorize(request, route, table);
    if (access.type === 'unauthorized') {
      this.options.metrics.countUnauthorized();
      const reason = request.credential === undefined ? 'noKey' : 'unknownKey';
      this.logRefusal('unauthorized', this.unauthorizedLines, request, { route: route.name, reason, table });
      return { type: 'refused', reply: UNAUTHORIZED };
    }
    const { tenant } = access;
    const headers = replaceTenantHeaders(request.headers, tenant, this.options.headers);
    const bound = tenant === undefined ? route : bindRoute(route, tenant);
    if (bound !== undefined)
      return { type: 'passed', request: { ...request, headers }, route: bound, tenant };
    this.logRefusal('noCommonRegion', this.regionLines, request, {
      route: route.name,
      reason: tenant?.name ?? '',
      table,
    });
    return { type: 'refused', reply: NO_REGION };
  }

  /**
   * Calls `decide` with undefined if the request is within the rate limit of its tenant, otherwise with the refusal. The
   * call may wait for a share of the quota.
   */
  public admit(tenant: Tenant, id: string, decide: (refusal: CallerRefusal | undefined) => void): void {
    this.options.admit(tenant, (decision) => decide(this.readDecision(tenant, id, decision)));
  }

  /** Counts the end of a request that was authorized. */
  public noteEnd(tenant: Tenant | undefined, outcome: Outcome, tookMs: number): void {
    if (tenant !== undefined) this.options.metrics.countEnd(tenant.name, outcome, tookMs);
  }

  private readDecision(tenant: Tenant, id: string, decision: QuotaDecision): CallerRefusal | undefined {
    if (decision.admitted) return undefined;
    const retryAfterMs = Math.ceil(decision.retryAfterMs);
    this.options.metrics.countOverQuota(tenant.name);
    const omitted = this.quotaLines.admit(this.options.clock.monotonicMs());
    if (omitted !== undefined)
      this.options.logger.log('overQuota', { step: 'admit', id, tenant: tenant.name, retryAfterMs, omitted });
    return { type: 'refusal', status: 429, code: 'overQuota', retryAfterMs };
  }

  private logRefusal(
    event: string,
    sampler: LogSampler,
    { id }: CallerRequest,
    { route, reason, table }: { readonly route: string; readonly reason: string; readonly table: RouteTable },
  ): void {
    const omitted = sampler.admit(this.options.clock.monotonicMs());
    if (omitted === undefined) return;
    const { version } = table;
    this.options.logger.log(event, { step: 'admit', id, route, reason, version, omitted });
  }
}
