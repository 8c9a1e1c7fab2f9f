import type { Catalogue } from '#catalogue/Catalogue.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { RandomSource } from '#core/RandomSource.js';

/**
 * Each daemon knows the members of a few other cells, so that digests mix the whole fleet and not each cell alone. One
 * cell of 11 KB a minute is 0.2 KB/s.
 */
const FETCH_INTERVAL_MS = 60_000;

/** Picks a random cell of the fleet from time to time. Used by the cell task alone. */
export class RandomCellPicker {
  private dueMs = 0;

  public constructor(private readonly random: RandomSource) {}

  /** Returns the name of a cell to fetch, if one is due; never that of the own cell. */
  public pick(
    catalogue: Catalogue | undefined,
    ownName: string | undefined,
    nowMs: number,
  ): string | undefined {
    const { random } = this;
    const service = random.pick(catalogue?.services ?? []);
    if (service === undefined || nowMs < this.dueMs) return undefined;
    this.dueMs = nowMs + FETCH_INTERVAL_MS * (0.5 + random.fraction());
    const name = formatCellName(service.name, random.integer(Math.max(1, service.cells)));
    if (name !== ownName) return name;
    // The own cell was drawn: with few cells that is likely, and the next tick draws again.
    this.dueMs = 0;
    return undefined;
  }
}
