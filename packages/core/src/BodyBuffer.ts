import type { BodyFault } from '#core/BodyFault.js';
import type { BodyBudget } from '#core/BodyBudget.js';
import { HeldBody } from '#core/HeldBody.js';

const EMPTY = Buffer.alloc(0);

/**
 * Collects a body of unknown length in one buffer, whose capacity doubles when it is full. A list of chunks would take
 * many times the memory of the body if the sender made the chunks small.
 */
export class BodyBuffer {
  private readonly maxBytes: number;
  private readonly budget: BodyBudget;
  private bytes = EMPTY;
  private length = 0;
  private chargedBytes = 0;

  public constructor(maxBytes: number, budget: BodyBudget) {
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
    const body = this.copyWhole();
    this.discard();
    return body;
  }

  /** Like `take`, but the memory of the body stays charged until it is released. */
  public hold(): HeldBody {
    const bytes = this.copyWhole();
    this.budget.resize(this.chargedBytes, bytes.length);
    this.chargedBytes = 0;
    this.discard();
    return new HeldBody(bytes, this.budget);
  }

  /** Frees the memory of the body and starts an empty one. */
  public discard(): void {
    this.budget.resize(this.chargedBytes, 0);
    this.chargedBytes = 0;
    this.bytes = EMPTY;
    this.length = 0;
  }

  private grow(needed: number): boolean {
    const capacity = Math.min(this.maxBytes, Math.max(needed, this.bytes.length * 2));
    if (!this.budget.resize(this.chargedBytes, capacity)) return false;
    this.chargedBytes = capacity;
    const grown = Buffer.allocUnsafe(capacity);
    this.bytes.copy(grown, 0, 0, this.length);
    this.bytes = grown;
    return true;
  }

  private copyWhole(): Buffer {
    const isFull = this.length === this.bytes.length;
    return isFull ? this.bytes : Buffer.from(this.bytes.subarray(0, this.length));
  }
}
