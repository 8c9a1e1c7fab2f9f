import type { PartRules } from '#model/PartRules.js';

/**
 * Keeps one instance of each part of a state, so that successors share what a step leaves alone and a part is
 * normalized, described and shifted once.
 */
export class PartTable<T extends object, D extends { readonly key: string }> {
  private readonly byKey = new Map<string, T>();
  private readonly descriptions = new Map<T, D>();
  private readonly shifted = new Map<T, T>();

  public constructor(private readonly rules: PartRules<T, D>) {}

  /** Returns the instance that stands for `part`. */
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

  /** Returns the description of a part. */
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
