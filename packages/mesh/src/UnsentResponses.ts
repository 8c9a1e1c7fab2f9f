/** Sizes of the responses that are being written, by the number of their exchange. */
export class UnsentResponses {
  private readonly maxBytes: number;
  private readonly sizes = new Map<number, number>();
  private totalBytes = 0;

  public constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Whether the responses use more memory than a daemon has for them. */
  public isExceeded(): boolean {
    return this.totalBytes > this.maxBytes;
  }

  public add(exchange: number, bytes: number): void {
    this.sizes.set(exchange, bytes);
    this.totalBytes += bytes;
  }

  public remove(exchange: number): void {
    this.totalBytes -= this.sizes.get(exchange) ?? 0;
    this.sizes.delete(exchange);
  }

  /** Returns the exchanges, the one whose response has waited longest first. */
  public list(): readonly number[] {
    return [...this.sizes.keys()];
  }
}
