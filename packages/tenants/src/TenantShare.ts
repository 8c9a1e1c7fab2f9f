import { computeQuotaGrantMs } from '#admission/ComputeQuotaGrantMs.js';
import type { QuotaClient } from '#admission/QuotaClient.js';
import type { TokenGrant } from '#admission/TokenGrant.js';
import type { TokenRequest } from '#admission/TokenRequest.js';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import type { Tenant } from '#routes/Tenant.js';
import { computeTenantLimits } from '#tenants/ComputeTenantLimits.js';
import { DemandMeter } from '#tenants/DemandMeter.js';
import type { QuotaDecision } from '#tenants/QuotaDecision.js';
import { tenantQuotaSettings } from '#tenants/TenantQuotaSettings.js';
import type { WaitingAdmission } from '#tenants/WaitingAdmission.js';

/** Longest time for which a request waits for tokens: several round trips between regions. */
const MAX_WAIT_MS = 300;

/** Limit of the requests of one tenant that wait at this daemon; further ones are refused at once. */
const MAX_WAITING = 256;

/** Time covered by the tokens that are obtained ahead of need, as a fraction of the duration of a grant. */
const AHEAD_FRACTION = 0.9;

/** Tokens are obtained again when fewer than this fraction of those for the demand is left. */
const REFILL_FRACTION = 0.5;

/**
 * Unused tokens are returned after this time without requests, as other daemons may need them, but not before several
 * times the usual interval between requests: they would be requested again at once.
 */
const IDLE_MS = 150;
const IDLE_INTERVALS = 4;

/** Shortest time between a grant that did not suffice and the next token request. */
const MIN_PAUSE_MS = 100;

/** The same while the holder cannot be reached. */
const UNREACHABLE_PAUSE_MS = 300;

/** Fewer tokens are not obtained ahead: if requests come by turns to many daemons, most of them would expire unused. */
const MIN_AHEAD = 4;

const MS_PER_SECOND = 1_000;

/** What this daemon may use of the rate limit of one tenant, and the requests that wait for more of it. */
export class TenantShare {
  private readonly client: QuotaClient;
  private readonly demand = new DemandMeter();
  private tenant: Tenant;
  private limits: EntryLimits;
  private waiting: readonly WaitingAdmission[] = [];
  /** Time before which no tokens are expected. */
  private pausedUntilMs = -Infinity;
  /** Requests refused during the pause; later ones are told to come after them. */
  private refusedInPause = 0;
  private lastArrivalMs = -Infinity;
  private failures = 0;
  /** Requests that waited when tokens were last requested. */
  private asked = 0;

  public constructor(client: QuotaClient, tenant: Tenant) {
    this.client = client;
    this.tenant = tenant;
    this.limits = computeTenantLimits(tenant);
  }

  /** Replaces the limits of the tenant. */
  public update(tenant: Tenant): void {
    if (tenant === this.tenant) return;
    this.tenant = tenant;
    this.limits = computeTenantLimits(tenant);
  }

  /** Decides on a request now, or after a limited wait for tokens. */
  public admit(decide: (decision: QuotaDecision) => void, nowMs: number): void {
    const { name } = this.tenant;
    this.demand.note(nowMs);
    this.lastArrivalMs = nowMs;
    const isNext = this.waiting.length === 0;
    const result = isNext ? this.client.admit(name, this.limits, nowMs) : undefined;
    if (result?.kind === 'admit') {
      // Only the rate is limited, so the request need not be followed until its end.
      this.client.release(name);
      decide({ admitted: true });
      return;
    }
    const waitMs = this.expectedWaitMs(this.waiting.length + 1, nowMs);
    const mayWait =
      this.waiting.length < MAX_WAITING && (this.isPaused(nowMs) ? waitMs <= MAX_WAIT_MS : true);
    if (mayWait) this.waiting = [...this.waiting, { decide, untilMs: nowMs + MAX_WAIT_MS }];
    else this.refuse(decide, waitMs);
  }

  /** Returns how many tokens are to be requested now: 0 to return the unused ones, undefined if none is due. */
  public neededTokens(nowMs: number): number | undefined {
    if (this.isPaused(nowMs)) return undefined;
    if (this.mayReturn(nowMs)) return 0;
    const left = this.client.tokens(this.tenant.name, nowMs);
    const aheadMs = computeQuotaGrantMs(tenantQuotaSettings, this.limits) * AHEAD_FRACTION;
    const ahead = Math.floor((this.demand.ratePerSecond(nowMs) * aheadMs) / MS_PER_SECOND);
    const isShort = ahead >= MIN_AHEAD && left < ahead * REFILL_FRACTION;
    if (this.waiting.length === 0 && !isShort) return undefined;
    const spare = ahead >= MIN_AHEAD ? Math.ceil(ahead - left) : 0;
    return Math.max(1, this.waiting.length + spare);
  }

  /** Creates the request for a number of tokens. */
  public createRequest(tokens: number, nowMs: number): TokenRequest {
    this.asked = this.waiting.length;
    return this.client.requestTokens(this.tenant.name, this.limits, tokens, nowMs);
  }

  /** Applies the reply of the holder; undefined if it could not be reached or does not hold the quota. */
  public noteReply(grant: TokenGrant | undefined, nowMs: number): void {
    this.refusedInPause = 0;
    this.failures = grant === undefined ? this.failures + 1 : 0;
    if (grant !== undefined) this.client.apply(grant, nowMs);
    this.serveWaiting(nowMs);
    if (grant === undefined) {
      this.pausedUntilMs = nowMs + (this.failures > 1 ? UNREACHABLE_PAUSE_MS : MIN_PAUSE_MS);
      if (this.failures > 1) this.refuseWaiting(() => false, nowMs);
    } else if (grant.readyInMs > 0) {
      this.pausedUntilMs = nowMs + Math.min(UNREACHABLE_PAUSE_MS, Math.max(MIN_PAUSE_MS, grant.readyInMs));
      this.refuseWaiting(({ untilMs }) => nowMs + grant.readyInMs < untilMs, nowMs);
    } else if (grant.tokens < this.asked) {
      this.pausedUntilMs = nowMs + MIN_PAUSE_MS;
      this.refuseWaiting(
        ({ untilMs }, index) => nowMs + this.expectedWaitMs(index + 1, nowMs) <= untilMs,
        nowMs,
      );
    }
  }

  /** Refuses the requests whose time to wait has ended. */
  public expireWaiting(nowMs: number): void {
    this.refuseWaiting(({ untilMs }) => untilMs > nowMs, nowMs);
  }

  /** Returns the next time after `nowMs` at which a decision or a token request becomes due, or infinity. */
  public nextDueMs(nowMs: number): number {
    const [first] = this.waiting;
    const hasTokens = this.client.tokens(this.tenant.name, nowMs) >= 1;
    const times = [
      first?.untilMs ?? Infinity,
      first === undefined ? Infinity : this.pausedUntilMs,
      hasTokens ? Math.max(this.returnMs(), this.pausedUntilMs) : Infinity,
    ];
    return Math.min(...times.filter((timeMs) => timeMs > nowMs));
  }

  /** Whether it has no requests and no tokens, so that it can be dropped. */
  public isIdle(nowMs: number): boolean {
    return this.waiting.length === 0 && nowMs - this.lastArrivalMs > 10 * tenantQuotaSettings.grantMs;
  }

  private mayReturn(nowMs: number): boolean {
    if (this.waiting.length > 0 || nowMs < this.returnMs()) return false;
    return this.client.tokens(this.tenant.name, nowMs) >= 1;
  }

  /** Time at which unused tokens are returned. */
  private returnMs(): number {
    const intervalMs = MS_PER_SECOND / Math.max(this.demand.ratePerSecond(this.lastArrivalMs), 1e-9);
    return this.lastArrivalMs + Math.max(IDLE_MS, intervalMs * IDLE_INTERVALS);
  }

  private serveWaiting(nowMs: number): void {
    let served = 0;
    while (served < this.waiting.length && this.client.retry(this.tenant.name, nowMs)) {
      this.waiting[served]?.decide({ admitted: true });
      served += 1;
    }
    this.waiting = this.waiting.slice(served);
  }

  private refuseWaiting(keeps: (waiting: WaitingAdmission, index: number) => boolean, nowMs: number): void {
    if (this.waiting.length === 0) return;
    const kept = this.waiting.filter(keeps);
    const refused = this.waiting.filter((each) => !kept.includes(each));
    this.waiting = kept;
    for (const { decide } of refused) this.refuse(decide, this.expectedWaitMs(kept.length + 1, nowMs));
  }

  private refuse(decide: (decision: QuotaDecision) => void, retryAfterMs: number): void {
    this.refusedInPause += 1;
    decide({ admitted: false, retryAfterMs: Math.max(1, retryAfterMs) });
  }

  /** Time until the `position`-th waiting request is expected to get a token. */
  private expectedWaitMs(position: number, nowMs: number): number {
    const pauseMs = Math.max(0, this.pausedUntilMs - nowMs);
    const accrueMs = ((position + this.refusedInPause) / this.tenant.ratePerSecond) * MS_PER_SECOND;
    return Math.max(pauseMs, accrueMs);
  }

  private isPaused(nowMs: number): boolean {
    return nowMs < this.pausedUntilMs;
  }
}
