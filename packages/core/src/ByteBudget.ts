/** Bytes of memory that several readers share. */
export class ByteBudget {
  private readonly limit: number;
  private used = 0;

  public constructor(limit: number) {
    this.limit = limit;
  }

  /** Takes bytes if they are left, and tells whether they were. */
  public take(bytes: number): boolean {
    if (this.used + bytes > this.limit) return false;
    this.used += bytes;
    return true;
  }

  /** Gives back bytes that were taken. */
  public release(bytes: number): void {
    this.used -= bytes;
  }
}
