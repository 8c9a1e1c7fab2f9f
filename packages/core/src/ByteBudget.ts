/** Limit on the bytes of memory that several readers use together. */
export class ByteBudget {
  private readonly limit: number;
  private used = 0;

  public constructor(limit: number) {
    this.limit = limit;
  }

  /** Reserves bytes and returns true, or returns false if fewer are left. */
  public take(bytes: number): boolean {
    if (this.used + bytes > this.limit) return false;
    this.used += bytes;
    return true;
  }

  /** Returns reserved bytes to the budget. */
  public release(bytes: number): void {
    this.used -= bytes;
  }
}
