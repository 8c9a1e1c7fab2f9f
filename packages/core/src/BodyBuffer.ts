import type { BodyFault } from '#core/BodyFault.js';
import type { ByteBudget } from '#core/ByteBudget.js';

/** Bodies up to this size are not charged to the budget, so that a few huge bodies cannot block the many small ones. */
const UNCHARGED_BYTES = 256 * 1024;

const EMPTY = Buffer.alloc(0);

/**
 * Collects a body of unknown length in one buffer, whose capacity doubles when it is full. A list of chunks would take
 * many times the memory of the body if the sender made the chunks small.
 */
export class BodyBuffer {
  private readonly maxBytes: number;
  private readonly budget: ByteBudget;
  private bytes = EMPTY;
  private length = 0;
  private chargedBytes = 0;

  public constructor(maxBytes: number, budget: ByteBudget) {
    this.maxBytes = maxBytes;
    this.budget = budget;
  }

  /** Appends a copy of a chunk. Returns the fault if the chunk does not fit; then nothing is added. */
  public add(chunk: Buffer): BodyFault | undefined {
    const needed = this.length + chunk.length;
    if (needed > this.maxBytes) return 'tooLarge';
    if (needed > this.bytes.length && !this.grow(needed)) return 'overBudget';
    chunk.copy(this.bytes, this.length);
    this.length = needed;
    return undefined;
  }

  /** Returns the whole body and starts an empty one. */
  public take(): Buffer {
    const isFull = this.length === this.bytes.length;
    const body = isFull ? this.bytes : Buffer.from(this.bytes.subarray(0, this.length));
    this.discard();
    return body;
  }

  /** Frees the memory of the body and starts an empty one. */
  public discard(): void {
    this.budget.release(this.chargedBytes);
    this.chargedBytes = 0;
    this.bytes = EMPTY;
    this.length = 0;
  }

  private grow(needed: number): boolean {
    const capacity = Math.min(this.maxBytes, Math.max(needed, this.bytes.length * 2));
    const charge = Math.max(0, capacity - UNCHARGED_BYTES);
    if (!this.budget.take(charge - this.chargedBytes)) return false;
    this.chargedBytes = charge;
    const grown = Buffer.allocUnsafe(capacity);
    this.bytes.copy(grown, 0, 0, this.length);
    this.bytes = grown;
    return true;
  }
}
