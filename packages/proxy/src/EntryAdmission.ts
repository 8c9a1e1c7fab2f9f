import type { AdmissionResult } from '#admission/AdmissionResult.js';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import type { QuotaClient } from '#admission/QuotaClient.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import type { RateLimits } from '#admission/RateLimits.js';
import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';

/** Longest wait for the first slice of an entry: one round trip between regions, with some time to spare. */
const MAX_WAIT_MS = 60;
/** Bounds the memory of requests that wait for a slice; further ones are refused at once. */
const MAX_WAITING = 1_024;

interface Waiting {
  readonly key: string;
  readonly limits: RateLimits;
  readonly decide: (result: AdmissionResult) => void;
  readonly endMs: number;
  readonly cancelTimer: Cancel;
}

/** Admits requests within fleet-wide limits. Those that arrive before the first slice of their entry wait for it. */
export class EntryAdmission {
  private readonly waiting = new Map<string, Waiting>();

  /**
   * @param sendAsk sends an ask to the holder of its entry
   * @param onWaitOver posts to the entry task that the wait of a request is over, for `decideNow`
   */
  public constructor(
    private readonly quota: QuotaClient,
    private readonly clock: Clock,
    private readonly sendAsk: (ask: QuotaRequest) => void,
    private readonly onWaitOver: (requestId: string) => void,
  ) {}

  /** Number of requests that wait. */
  public get waitingCount(): number {
    return this.waiting.size;
  }

  /** Decides on a request, at once or after a wait of at most `waitMs`. */
  public request(
    requestId: string,
    key: string,
    limits: RateLimits,
    waitMs: number,
    decide: (result: AdmissionResult) => void,
  ): void {
    const nowMs = this.clock.monotonicMs();
    const result = this.quota.admit(key, limits, nowMs);
    const mayWait = !this.quota.hasSlice(key, nowMs) && this.waiting.size < MAX_WAITING;
    if (result.kind === 'refuse' && mayWait) {
      const endMs = nowMs + Math.min(waitMs, MAX_WAIT_MS);
      this.wait(requestId, { key, limits, decide, endMs }, endMs - nowMs);
    } else decide(result);
    if (this.quota.needsAsk(key, nowMs)) this.sendAsks();
  }

  /** Decides on a request that waits. */
  public decideNow(requestId: string): void {
    const waiting = this.waiting.get(requestId);
    if (waiting === undefined) return;
    this.waiting.delete(requestId);
    waiting.cancelTimer();
    waiting.decide(this.quota.admit(waiting.key, waiting.limits, this.clock.monotonicMs()));
  }

  /** Ends one admitted request. */
  public release(key: string): void {
    this.quota.release(key);
  }

  /** Gives back the token of an admitted request that was refused as not run, such as one without an epoch. */
  public refund(key: string): void {
    this.quota.refund(key);
  }

  /** Sends the asks that are due. */
  public sendAsks(): void {
    for (const ask of this.quota.nextAsks(this.clock.monotonicMs())) this.sendAsk(ask);
  }

  /** Applies the reply of a holder and decides on the requests that waited for it. */
  public applySlice(slice: QuotaGrant): void {
    this.quota.apply(slice, this.clock.monotonicMs());
    for (const [requestId, waiting] of [...this.waiting])
      if (waiting.key === slice.entry) this.tryWaiting(requestId, waiting);
  }

  public setPosition(rank: number, fleetSize: number): void {
    this.quota.setPosition(rank, fleetSize, this.clock.monotonicMs());
  }

  /** Forgets entries that are no longer in the catalogue. */
  public retain(keys: ReadonlySet<string>): void {
    this.quota.retain(keys);
  }

  /** Cancels the timers of requests that wait. */
  public stop(): void {
    for (const { cancelTimer } of this.waiting.values()) cancelTimer();
  }

  /** The first slice of an entry may carry no token yet; then the request waits for the next one, within its time. */
  private tryWaiting(requestId: string, waiting: Waiting): void {
    const nowMs = this.clock.monotonicMs();
    const result = this.quota.admit(waiting.key, waiting.limits, nowMs);
    waiting.cancelTimer();
    this.waiting.delete(requestId);
    const retryAfterMs = result.kind === 'refuse' ? (result.error.retryAfterMs ?? Infinity) : Infinity;
    if (nowMs + retryAfterMs <= waiting.endMs) this.wait(requestId, waiting, retryAfterMs);
    else waiting.decide(result);
  }

  private wait(requestId: string, waiting: Omit<Waiting, 'cancelTimer'>, delayMs: number): void {
    const cancelTimer = this.clock.schedule(delayMs, () => this.onWaitOver(requestId));
    this.waiting.set(requestId, { ...waiting, cancelTimer });
  }
}
