import type { TokenRequest } from '#admission/TokenRequest.js';
import { LogSampler } from '#core/LogSampler.js';
import type { Logger } from '#core/Logger.js';
import type { Tenant } from '#routes/Tenant.js';
import { computeTenantLimits } from '#tenants/ComputeTenantLimits.js';
import type { HolderHistory } from '#tenants/HolderHistory.js';
import { isLimited } from '#tenants/IsLimited.js';
import { maxViewAgeMs } from '#tenants/MaxViewAgeMs.js';
import { TenantHolders } from '#tenants/TenantHolders.js';
import type { TokenGrant } from '#admission/TokenGrant.js';

/** Time for which a tenant is not granted after its quota was yielded; longer than views are outdated. */
const YIELD_MS = maxViewAgeMs + 500;

/** Pause between two attempts to become the only holder. */
const CONFIRM_PAUSE_MS = 500;

const MAX_LINES_PER_SECOND = 5;

/** State of the attempt to become the only holder of a tenant's quota. */
interface Confirmation {
  /** Start of this daemon's term as the holder. */
  readonly heldSinceMs: number;
  readonly askedMs: number;
  /** Daemons that have not yet confirmed that they do not grant. */
  readonly pending: ReadonlySet<string>;
  /** Time since which this daemon is the only holder; undefined until it is confirmed. */
  readonly soleSinceMs: number | undefined;
}

interface QuotaHoldingOptions {
  readonly serverId: string;
  readonly history: HolderHistory;
  readonly logger: Logger;
  /** Asks another daemon to stop granting the tokens of a tenant. */
  readonly askToYield: (serverId: string, tenant: string) => void;
}

/**
 * The holder's side of the quotas: grants tokens of the tenants that this daemon holds by its view, and only once no
 * other daemon can grant them by an outdated view.
 */
export class QuotaHolding {
  private readonly options: QuotaHoldingOptions;
  private readonly holders = new TenantHolders();
  private readonly confirmations = new Map<string, Confirmation>();
  private readonly yieldedUntil = new Map<string, number>();
  private readonly sampler = new LogSampler(MAX_LINES_PER_SECOND);
  private tenants: ReadonlyMap<string, Tenant> = new Map();

  public constructor(options: QuotaHoldingOptions) {
    this.options = options;
  }

  /** Replaces the tenants of the configuration. */
  public setTenants(tenants: ReadonlyMap<string, Tenant>): void {
    this.tenants = tenants;
    this.dropLost();
  }

  /** Drops the quotas that this daemon no longer holds by its view. */
  public dropLost(): void {
    const { history, serverId } = this.options;
    const isHeld = (name: string): boolean =>
      isLimited(this.tenants.get(name)) && history.findHolder(name) === serverId;
    this.holders.retain(isHeld);
    for (const name of this.confirmations.keys()) if (!isHeld(name)) this.confirmations.delete(name);
  }

  /** Grants tokens; undefined if this daemon does not hold the tenant's quota. */
  public grant(request: TokenRequest, nowMs: number): TokenGrant | undefined {
    const tenant = this.tenants.get(request.entry);
    if (!isLimited(tenant)) return undefined;
    const { history, serverId } = this.options;
    const heldSinceMs = history.heldSinceMs(serverId, tenant.name);
    if (heldSinceMs === undefined) return undefined;
    const yieldedUntilMs = this.yieldedUntil.get(tenant.name) ?? -Infinity;
    if (yieldedUntilMs > nowMs) return undefined;
    const soleSinceMs = this.findSoleSince(tenant.name, heldSinceMs, nowMs);
    return this.holders.grant(
      request,
      computeTenantLimits(tenant),
      Math.max(soleSinceMs, yieldedUntilMs),
      nowMs,
    );
  }

  /** Stops granting the tokens of a tenant, as another daemon holds its quota. */
  public yield(tenant: string, nowMs: number): void {
    for (const [name, untilMs] of this.yieldedUntil)
      if (untilMs + YIELD_MS < nowMs) this.yieldedUntil.delete(name);
    if (!this.tenants.has(tenant)) return;
    this.yieldedUntil.set(tenant, nowMs + YIELD_MS);
    this.holders.drop(tenant);
    this.confirmations.delete(tenant);
  }

  /** Notes that another daemon has stopped granting the tokens of a tenant. */
  public noteYielded(serverId: string, tenant: string, nowMs: number): void {
    const known = this.confirmations.get(tenant);
    if (!known?.pending.has(serverId)) return;
    const pending = new Set([...known.pending].filter((each) => each !== serverId));
    if (pending.size > 0) {
      this.confirmations.set(tenant, { ...known, pending });
      return;
    }
    this.confirmations.set(tenant, { ...known, pending, soleSinceMs: nowMs });
    // The quota was created with the time at which it would have been the only holder without confirmation.
    this.holders.drop(tenant);
    this.options.logger.log('quotaConfirmed', {
      step: 'admit',
      tenant,
      afterMs: Math.round(nowMs - known.askedMs),
    });
  }

  /** Returns the time since which this daemon is the only holder, which may lie in the future. */
  private findSoleSince(tenant: string, heldSinceMs: number, nowMs: number): number {
    const assumedMs = heldSinceMs + maxViewAgeMs;
    const known = this.confirmations.get(tenant);
    const isCurrent = known?.heldSinceMs === heldSinceMs;
    if (isCurrent && known.soleSinceMs !== undefined) return known.soleSinceMs;
    if (assumedMs <= nowMs) return assumedMs;
    if (!isCurrent || nowMs - known.askedMs >= CONFIRM_PAUSE_MS) this.confirm(tenant, heldSinceMs, nowMs);
    return assumedMs;
  }

  private confirm(tenant: string, heldSinceMs: number, nowMs: number): void {
    const { history, serverId, askToYield } = this.options;
    const rivals = history.listRivals(serverId, tenant, maxViewAgeMs, nowMs);
    const omitted = this.sampler.admit(nowMs);
    if (omitted !== undefined)
      this.options.logger.log('quotaHeld', { step: 'admit', tenant, rivals: rivals?.join(','), omitted });
    const pending = new Set(rivals ?? []);
    this.confirmations.set(tenant, { heldSinceMs, askedMs: nowMs, pending, soleSinceMs: undefined });
    for (const rival of pending) askToYield(rival, tenant);
  }
}
