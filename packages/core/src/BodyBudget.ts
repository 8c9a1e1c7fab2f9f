import { ByteBudget } from '#core/ByteBudget.js';

/** Size up to which a body is charged to the limit of small bodies, in bytes. */
const SMALL_BYTES = 256 * 1024;

/**
 * Memory limit of the bodies that one task holds at the same time. The first bytes of each body have a limit of their
 * own, so that a few huge bodies cannot block the many small ones.
 */
export class BodyBudget {
  private readonly small: ByteBudget;
  private readonly large: ByteBudget;

  /** `maxBytes` limits what exceeds the first 256 KiB of bodies; those have half of it in addition. */
  public constructor(maxBytes: number) {
    this.large = new ByteBudget(maxBytes);
    this.small = new ByteBudget(maxBytes / 2);
  }

  /** Changes the charge of one body and returns true, or returns false if fewer bytes are left. */
  public resize(fromBytes: number, toBytes: number): boolean {
    const smallChange = smallPart(toBytes) - smallPart(fromBytes);
    const largeChange = largePart(toBytes) - largePart(fromBytes);
    if (!this.small.take(smallChange)) return false;
    if (this.large.take(largeChange)) return true;
    this.small.release(smallChange);
    return false;
  }
}

function smallPart(bytes: number): number {
  return Math.min(bytes, SMALL_BYTES);
}

function largePart(bytes: number): number {
  return Math.max(0, bytes - SMALL_BYTES);
}
