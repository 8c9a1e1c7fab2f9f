import type { Catalogue } from '#catalogue/Catalogue.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { RandomSource } from '#core/RandomSource.js';

/**
 * Fetching other cells gives each daemon peers outside its own cell, so that digests reach the whole fleet. One cell of
 * 11 KB a minute is 0.2 KB/s.
 */
const FETCH_INTERVAL_MS = 60_000;

/** Picks a random cell of the fleet at intervals. Used only by the cell task. */
export class RandomCellPicker {
  private dueMs = 0;

  public constructor(private readonly random: RandomSource) {}

  /** Returns the name of a cell to fetch if a fetch is due; never this daemon's own cell. */
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
    // The own cell was picked, which is likely if there are few cells; the next tick picks again.
    this.dueMs = 0;
    return undefined;
  }
}
