import type { CrashMark } from '#admission/CrashMark.js';
import { Quarantine } from '#admission/Quarantine.js';
import type { QuarantineResult } from '#admission/QuarantineResult.js';
import type { QuarantineRow } from '#admission/QuarantineRow.js';
import { createFingerprint } from '#proxy/CreateFingerprint.js';
import type { Order } from '#proxy/Order.js';

const MAX_ENTRIES = 10_000;
const KEEP_MS = 3_600_000;
/** Orders that were lost within this time before a death was noticed count as in flight at the death. */
const DEATH_WINDOW_MS = 2000;

interface LostOrder {
  readonly order: Order;
  readonly atMs: number;
}

/** Finds the requests that were in flight when a backend server died. Used by the owner task alone. */
export class CrashWatch {
  private readonly quarantine = new Quarantine(MAX_ENTRIES, KEEP_MS);
  private lost: readonly LostOrder[] = [];

  /** Decides how an order may run. */
  public check(order: Order, nowMs: number): QuarantineResult {
    if (this.quarantine.size === 0) return { kind: 'run' };
    return this.quarantine.check(fingerprintOf(order), nowMs);
  }

  /** Notes an order whose connection broke while it ran. */
  public noteLost(order: Order, nowMs: number): void {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < DEATH_WINDOW_MS);
    this.lost = [...recent, { order, atMs: nowMs }];
  }

  /** Clears the marks of an order that was answered, so that requests beside a crashing one are not blamed for good. */
  public noteAnswered(order: Order, nowMs: number): readonly CrashMark[] {
    if (this.quarantine.size === 0) return [];
    return this.quarantine.clear(fingerprintOf(order), nowMs);
  }

  /** Marks the orders that were lost with a backend server; `death` names the process that died. */
  public markDeath(death: string, nowMs: number): readonly CrashMark[] {
    const recent = this.lost.filter(({ atMs }) => nowMs - atMs < DEATH_WINDOW_MS);
    this.lost = [];
    if (recent.length === 0) return [];
    return this.quarantine.mark(
      recent.map(({ order }) => fingerprintOf(order)),
      death,
      nowMs,
    );
  }

  /** Merges marks of other daemons. */
  public merge(marks: readonly CrashMark[], nowMs: number): void {
    this.quarantine.merge(marks, nowMs);
  }

  /** Lists requests that are marked or held. */
  public list(nowMs: number): readonly QuarantineRow[] {
    return this.quarantine.list(nowMs);
  }

  /** Lifts a hold; returns the marks to send to other daemons. */
  public lift(fingerprint: string, nowMs: number): readonly CrashMark[] {
    return this.quarantine.clear(fingerprint, nowMs);
  }

  /** Forgets old marks. */
  public expire(nowMs: number): void {
    this.quarantine.expire(nowMs);
  }
}

function fingerprintOf(order: Order): string {
  return createFingerprint(order.head, Buffer.isBuffer(order.body) ? order.body.toString('base64') : '');
}
