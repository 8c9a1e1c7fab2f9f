/** Caches the result of an exchange between two parts, so that the lease functions run once for each pair. */
export class PairMemo<A extends object, B extends object, R> {
  private readonly results = new Map<A, Map<B, Map<number, R>>>();

  /** Returns the cached result for two parts and a number, which `build` computes the first time. */
  public get(first: A, second: B, number: number, build: () => R): R {
    let bySecond = this.results.get(first);
    if (bySecond === undefined) this.results.set(first, (bySecond = new Map<B, Map<number, R>>()));
    let byNumber = bySecond.get(second);
    if (byNumber === undefined) bySecond.set(second, (byNumber = new Map<number, R>()));
    const known = byNumber.get(number);
    if (known !== undefined) return known;
    const result = build();
    byNumber.set(number, result);
    return result;
  }
}
