import type { BodyBudget } from '#core/BodyBudget.js';

/** A complete body whose memory stays charged to a budget until it is released. */
export class HeldBody {
  public readonly bytes: Buffer;
  private readonly budget: BodyBudget;
  private chargedBytes: number;

  /** `bytes` are charged to `budget` already. */
  public constructor(bytes: Buffer, budget: BodyBudget) {
    this.bytes = bytes;
    this.budget = budget;
    this.chargedBytes = bytes.length;
  }

  /** Charges other bytes in place of these, such as the unpacked body; undefined if they exceed the budget. */
  public replace(bytes: Buffer): HeldBody | undefined {
    if (!this.budget.resize(this.chargedBytes, bytes.length)) return undefined;
    this.chargedBytes = 0;
    return new HeldBody(bytes, this.budget);
  }

  /** Returns the memory to the budget; further calls have no effect. */
  public release(): void {
    this.budget.resize(this.chargedBytes, 0);
    this.chargedBytes = 0;
  }
}
