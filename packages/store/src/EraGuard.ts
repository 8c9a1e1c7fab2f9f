import type { EraChange } from '#store/EraChange.js';

/**
 * Time without an answer after which the era is in doubt, in milliseconds. It exceeds the interval of the lease renewals
 * (3,000 ms), so that a daemon whose only calls are renewals makes no more calls.
 */
const MAX_SILENCE_MS = 4_000;

/** Tracks the era of a store from its answers, and whether a restore may have remained unnoticed. Times are monotonic. */
export class EraGuard {
  private known: number | undefined;
  private isDoubtful = false;
  private answeredMs = -Infinity;
  /** Whether an answer has named the era. A store that never does has no restores to guard against. */
  private isNamed = false;

  /** Last known era; undefined before the first answer. */
  public get era(): number | undefined {
    return this.known;
  }

  /** Notes a failed call: the store may have been restored since its last answer. */
  public noteFailure(): void {
    this.isDoubtful = true;
  }

  /**
   * Notes an answer; `named` is undefined if it does not name the era, which counts as 0. Returns the change if the answer is
   * the first one or of a later era than all before.
   */
  public noteAnswer(named: number | undefined, nowMs: number): EraChange | undefined {
    const era = named ?? 0;
    this.isNamed ||= named !== undefined;
    if (this.known !== undefined && era < this.known) {
      this.isDoubtful = true;
      return undefined;
    }
    this.isDoubtful = false;
    this.answeredMs = nowMs;
    if (this.known === era) return undefined;
    const isFirst = this.known === undefined;
    this.known = era;
    return { era, isFirst };
  }

  /** Notes an era that another process has seen. Returns the change if this one did not know it. */
  public learn(era: number): EraChange | undefined {
    if (this.known !== undefined && era <= this.known) return undefined;
    this.isNamed = true;
    this.isDoubtful = true;
    const isFirst = this.known === undefined;
    this.known = era;
    return { era, isFirst };
  }

  /** Whether the era must be confirmed by a read before the next conditional write. */
  public isInDoubt(nowMs: number): boolean {
    return this.isNamed && (this.isDoubtful || nowMs - this.answeredMs > MAX_SILENCE_MS);
  }
}
