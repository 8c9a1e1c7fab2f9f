import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import { ReceiptEvidence } from '#delivery/ReceiptEvidence.js';
import type { ReceiptResult } from '#delivery/ReceiptResult.js';

/** Pending receipts expire in groups, each of which covers the deadlines of this time span. */
const EXPIRY_STEP_MS = 100;

/** A full table drops 1/16 of its entries at once, since finding the oldest entry of a large map is slow. */
const DROP_DIVISOR = 16;

const NOT_FOUND: RouterErrorFields = {
  code: 'receiptNotFound',
  step: 'receipt',
  peer: '',
  ran: 'ran',
  status: 404,
};

interface EndedReceipt {
  readonly team: string;
  readonly outcome: Outcome;
}

/**
 * Pending receipts, at most `maxPending`, and the outcomes of at least the last `maxPending` receipts that ended. Each
 * receipt is counted once: as the result of `confirm`, or as `sentUnconfirmed` if `expect` or `expire` returns it.
 */
export class ReceiptTable {
  private readonly maxPending: number;
  private readonly graceMs: number;
  private readonly evidence = new ReceiptEvidence();
  private readonly pending = new Map<string, PendingReceipt>();
  /** Ended receipts in two generations; the older one is dropped when the newer one is full. */
  private ended = new Map<string, EndedReceipt>();
  private olderEnded = new Map<string, EndedReceipt>();
  /** Ids of pending receipts, by the group of their deadline; see `EXPIRY_STEP_MS`. */
  private readonly expiryGroups = new Map<number, Set<string>>();

  /** `graceMs` is the time after the deadline in which a receipt is still accepted and counts as `late`. */
  public constructor(maxPending: number, graceMs: number) {
    this.maxPending = maxPending;
    this.graceMs = graceMs;
  }

  public get size(): number {
    return this.pending.size;
  }

  /** Adds a pending receipt. Returns the oldest ones, which were dropped to stay within `maxPending`. */
  public expect(receipt: PendingReceipt): readonly PendingReceipt[] {
    const dropped = this.pending.size >= this.maxPending ? this.dropOldest() : [];
    this.pending.set(receipt.id, receipt);
    const group = this.groupOf(receipt);
    this.expiryGroups.set(group, (this.expiryGroups.get(group) ?? new Set()).add(receipt.id));
    return dropped;
  }

  /** Applies a receipt for `bytes` bytes from `team`. */
  public confirm(id: string, team: string, bytes: number, nowMs: number): ReceiptResult {
    const receipt = this.pending.get(id);
    if (receipt === undefined) return this.findEnded(id, team);
    // The id of another team's receipt is refused like an unknown id, so that teams cannot probe for ids.
    if (receipt.team !== team) return { kind: 'refused', error: NOT_FOUND };
    const facts = { deadlineMs: receipt.deadlineMs, sentBytes: receipt.expectedBytes };
    const outcome = this.evidence.evaluateReceipt(facts, bytes, nowMs);
    this.end(receipt, outcome);
    return { kind: 'counted', outcome, receipt };
  }

  /** Removes and returns the receipts whose deadlines passed more than `graceMs` ago, at most one group width late. */

  public expire(nowMs: number): readonly PendingReceipt[] {
    const lastGroup = Math.floor((nowMs - this.graceMs) / EXPIRY_STEP_MS) - 1;
    const due = [...this.expiryGroups.keys()].filter((group) => group <= lastGroup);
    const ids = due.flatMap((group) => [...(this.expiryGroups.get(group) ?? [])]);
    const receipts = ids.map((id) => this.pending.get(id)).filter((receipt) => receipt !== undefined);
    for (const receipt of receipts) this.end(receipt, 'sentUnconfirmed');
    return receipts;
  }

  private dropOldest(): readonly PendingReceipt[] {
    const oldest: PendingReceipt[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (const receipt of this.pending.values()) {
      if (oldest.length * DROP_DIVISOR >= this.maxPending) break;
      oldest.push(receipt);
    }
    for (const receipt of oldest) this.end(receipt, 'sentUnconfirmed');
    return oldest;
  }

  private end(receipt: PendingReceipt, outcome: Outcome): void {
    this.pending.delete(receipt.id);
    this.removeFromGroup(receipt);
    if (this.ended.size >= this.maxPending) this.rotateEnded();
    this.ended.set(receipt.id, { team: receipt.team, outcome });
  }

  private removeFromGroup(receipt: PendingReceipt): void {
    const group = this.groupOf(receipt);
    const ids = this.expiryGroups.get(group);
    ids?.delete(receipt.id);
    if (ids?.size === 0) this.expiryGroups.delete(group);
  }

  private rotateEnded(): void {
    this.olderEnded = this.ended;
    this.ended = new Map();
  }

  private findEnded(id: string, team: string): ReceiptResult {
    const ended = this.ended.get(id) ?? this.olderEnded.get(id);
    if (ended?.team !== team) return { kind: 'refused', error: NOT_FOUND };
    return { kind: 'repeated', outcome: ended.outcome };
  }

  private groupOf(receipt: PendingReceipt): number {
    return Math.floor(receipt.deadlineMs / EXPIRY_STEP_MS);
  }
}
