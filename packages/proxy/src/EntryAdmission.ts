import type { AdmissionResult } from '#admission/AdmissionResult.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaClient } from '#admission/QuotaClient.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';

/** Longest wait for the first quota grant of an entry: one round trip between regions, with a margin. */
const MAX_GRANT_WAIT_MS = 60;
/** Bounds the memory of requests that wait for a quota grant; further ones are refused at once. */
const MAX_WAITING_REQUESTS = 1_024;

interface WaitingRequest {
  readonly key: string;
  readonly limits: RateLimits;
  readonly decide: (result: AdmissionResult) => void;
  readonly endMs: number;
  readonly cancelTimer: Cancel;
}

/** Admits requests within fleet-wide limits. Requests that arrive before the first grant of their entry wait for it. */
export class EntryAdmission {
  /** Waiting requests, by request id. */
  private readonly waiting = new Map<string, WaitingRequest>();

  /**
   * @param sendQuotaRequest sends a quota request to the holder of its entry
   * @param onWaitEnd tells the entry task that the wait of a request has ended, so that it calls `decideNow`
   */
  public constructor(
    private readonly quota: QuotaClient,
    private readonly clock: Clock,
    private readonly sendQuotaRequest: (request: QuotaRequest) => void,
    private readonly onWaitEnd: (requestId: string) => void,
  ) {}

  /** Number of requests that wait for a grant. */
  public get waitingCount(): number {
    return this.waiting.size;
  }

  /** Admits or refuses a request through `decide`, at once or after a wait of at most `waitMs`. */
  public admit(
    requestId: string,
    key: string,
    limits: RateLimits,
    waitMs: number,
    decide: (result: AdmissionResult) => void,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const result = this.quota.admit(key, limits, nowMs);
    const mayWait = !this.quota.hasGrant(key, nowMs) && this.waiting.size < MAX_WAITING_REQUESTS;
    if (result.kind === 'refuse' && mayWait) {
      const endMs = nowMs + Math.min(waitMs, MAX_GRANT_WAIT_MS);
      this.wait(requestId, { key, limits, decide, endMs }, endMs - nowMs);
    } else decide(result);
    if (this.quota.needsRequest(key, nowMs)) this.sendQuotaRequests();
  }

  /** Admits or refuses a waiting request now; has no effect if it no longer waits. */
  public decideNow(requestId: string): void {
    const waiting = this.waiting.get(requestId);
    if (waiting === undefined) return;
    this.waiting.delete(requestId);
    waiting.cancelTimer();
    waiting.decide(this.quota.admit(waiting.key, waiting.limits, this.clock.monotonicMs()));
  }

  /** Notes the end of one admitted request. */
  public release(key: string): void {
    this.quota.release(key);
  }

  /** Returns the token of an admitted request that was then refused as not run, such as one without an epoch. */
  public refund(key: string): void {
    this.quota.refund(key);
  }

  /** Sends the quota requests that are due. */
  public sendQuotaRequests(): void {
    for (const request of this.quota.nextRequests(this.clock.monotonicMs())) this.sendQuotaRequest(request);
  }

  /** Applies the grant of a quota holder and decides on the requests that waited for it. */
  public applyGrant(grant: QuotaGrant): void {
    this.quota.apply(grant, this.clock.monotonicMs());
    for (const [requestId, waiting] of [...this.waiting])
      if (waiting.key === grant.entry) this.retryWaiting(requestId, waiting);
  }

  public setPosition(rank: number, fleetSize: number): void {
    this.quota.setPosition(rank, fleetSize, this.clock.monotonicMs());
  }

  /** Removes the state of entries that are no longer in the catalogue. */
  public retain(keys: ReadonlySet<string>): void {
    this.quota.retain(keys);
  }

  /** Cancels the timers of the waiting requests. */
  public stop(): void {
    for (const { cancelTimer } of this.waiting.values()) cancelTimer();
  }

  /** Decides on a waiting request. If the first grant has no token yet, the request waits on until its time ends. */
  private retryWaiting(requestId: string, waiting: WaitingRequest): void {
    const nowMs = this.clock.monotonicMs();
    const result = this.quota.admit(waiting.key, waiting.limits, nowMs);
    waiting.cancelTimer();
    this.waiting.delete(requestId);
    const retryAfterMs = result.kind === 'refuse' ? (result.error.retryAfterMs ?? Infinity) : Infinity;
    if (nowMs + retryAfterMs <= waiting.endMs) this.wait(requestId, waiting, retryAfterMs);
    else waiting.decide(result);
  }

  private wait(requestId: string, waiting: Omit<WaitingRequest, 'cancelTimer'>, delayMs: number): void {
    const cancelTimer = this.clock.schedule(delayMs, () => this.onWaitEnd(requestId));
    this.waiting.set(requestId, { ...waiting, cancelTimer });
  }
}
