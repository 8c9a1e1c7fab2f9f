/** Records for each collection the latest time up to which this daemon has certainly read all changes of the store. */
export class ReadConfirmations {
  private readonly confirmedMs: Map<string, number>;

  public constructor(collections: readonly string[]) {
    this.confirmedMs = new Map(collections.map((collection) => [collection, -Infinity]));
  }

  /** Notes that the store answered a call that was sent at `sentMs`, of which the collection's state is not older. */
  public note(collection: string, sentMs: number): void {
    this.confirmedMs.set(collection, Math.max(sentMs, this.confirmedMs.get(collection) ?? -Infinity));
  }

  /** Age of the collection that was confirmed least recently, in milliseconds; Infinity if one never was. */
  public ageMs(nowMs: number): number {
    return nowMs - Math.min(...this.confirmedMs.values());
  }
}
