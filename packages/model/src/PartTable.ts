import type { PartRules } from '#model/PartRules.js';

/**
 * Interns the parts of states: successors share the parts that a step does not change, and each part is normalized,
 * described and shifted once.
 */
export class PartTable<T extends object, D extends { readonly key: string }> {
  private readonly byKey = new Map<string, T>();
  private readonly descriptions = new Map<T, D>();
  private readonly shifted = new Map<T, T>();

  public constructor(private readonly rules: PartRules<T, D>) {}

  /** Returns the interned instance that is equivalent to `part`. */
  public intern(part: T): T {
    if (this.descriptions.has(part)) return part;
    const normal = this.rules.normalize(part);
    const description = this.rules.describe(normal);
    const known = this.byKey.get(description.key);
    if (known !== undefined) return known;
    this.byKey.set(description.key, normal);
    this.descriptions.set(normal, description);
    return normal;
  }

  /** Returns the description of a part, which contains its key. */
  public describe(part: T): D {
    return this.descriptions.get(part) ?? this.rules.describe(part);
  }

  /** Returns the part one step of time later. */
  public shift(part: T): T {
    const known = this.shifted.get(part);
    if (known !== undefined) return known;
    const later = this.intern(this.rules.shift(part));
    this.shifted.set(part, later);
    return later;
  }
}
