import type { StoreHealth } from '#admin/StoreHealth.js';
import type { Clock } from '#core/Clock.js';

/** Time over which the rate of calls is averaged. */
const WINDOW_MS = 60_000;
const MS_PER_SECOND = 1_000;

/** Counts the calls of one daemon to the object store and tracks whether the store is reachable. */
export class StoreMeter {
  private recentCallsAtMs: readonly number[] = [];
  private failures = 0;
  private calls = 0;
  private reachable = false;
  private lastSuccessMs: number;

  public constructor(private readonly clock: Clock) {
    this.lastSuccessMs = clock.monotonicMs();
  }

  /** Records the end of a call. */
  public noteCall(succeeded: boolean): void {
    const nowMs = this.clock.monotonicMs();
    this.calls += 1;
    this.recentCallsAtMs = [...this.recentCallsAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS), nowMs];
    this.reachable = succeeded;
    if (succeeded) this.lastSuccessMs = nowMs;
    else this.failures += 1;
  }

  /** Number of calls since the daemon started. */
  public get callCount(): number {
    return this.calls;
  }

  /** Returns the state for operators. Before the first success, `lastSuccessMs` counts from the start of the daemon. */
  public read(): StoreHealth {
    const nowMs = this.clock.monotonicMs();
    const count = this.recentCallsAtMs.filter((atMs) => nowMs - atMs < WINDOW_MS).length;
    return {
      reachable: this.reachable,
      lastSuccessMs: Math.round(nowMs - this.lastSuccessMs),
      callsPerSecond: (count * MS_PER_SECOND) / WINDOW_MS,
      failures: this.failures,
    };
  }
}
