import { QuotaHolder } from '#admission/QuotaHolder.js';
import type { TokenGrant } from '#admission/TokenGrant.js';
import type { TokenRequest } from '#admission/TokenRequest.js';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { tenantQuotaSettings } from '#tenants/TenantQuotaSettings.js';

/** The quotas of the tenants that this daemon holds. */
export class TenantHolders {
  private readonly holders = new Map<string, QuotaHolder>();

  /** Grants tokens of a tenant. `soleSinceMs` is the time since which no other daemon grants them. */
  public grant(request: TokenRequest, limits: EntryLimits, soleSinceMs: number, nowMs: number): TokenGrant {
    const holder = this.holders.get(request.entry) ?? new QuotaHolder(tenantQuotaSettings, soleSinceMs);
    this.holders.set(request.entry, holder);
    return holder.grantTokens(request, limits, nowMs);
  }

  /** Drops the state of tenants whose quota this daemon no longer holds, as it is not valid in a later term. */
  public retain(isHeld: (tenant: string) => boolean): void {
    for (const tenant of this.holders.keys()) if (!isHeld(tenant)) this.holders.delete(tenant);
  }

  /** Drops the state of one tenant. */
  public drop(tenant: string): void {
    this.holders.delete(tenant);
  }
}
