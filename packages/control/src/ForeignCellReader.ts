import type { Cell } from '#assignment/Cell.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellLoader } from '#control/CellLoader.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Clock } from '#core/Clock.js';

/** Cells of other services that are read at a time; each read is a store call. */
const MAX_FOREIGN_CELLS = 8;
const MIN_REFRESH_INTERVAL_MS = 2_000;
/** A small cell usually stays small for a long time, so the interval doubles with each read up to this limit. */
const MAX_REFRESH_INTERVAL_MS = 60_000;
const WITNESS_COUNT = 3;

/** Reads cells of other services to find witnesses for the members of a small cell. Used only by the cell task. */
export class ForeignCellReader {
  private lastReadAtMs = Number.NEGATIVE_INFINITY;
  private refreshIntervalMs = MIN_REFRESH_INTERVAL_MS;

  public constructor(
    private readonly clock: Clock,
    private readonly loader: CellLoader,
  ) {}

  /** Reads the cells if the own cell has too few witness candidates and the refresh interval has passed. */
  public async readIfDue(
    home: CellHome,
    ownCell: Cell | undefined,
    catalogue: Catalogue | undefined,
  ): Promise<readonly Cell[]> {
    const nowMs = this.clock.monotonicMs();
    const isDue = nowMs - this.lastReadAtMs >= this.refreshIntervalMs;
    if (!isDue || countCandidates(home, ownCell) >= WITNESS_COUNT) return [];
    this.lastReadAtMs = nowMs;
    this.refreshIntervalMs = Math.min(MAX_REFRESH_INTERVAL_MS, 2 * this.refreshIntervalMs);
    const names = listForeignNames(home, catalogue);
    const cells = await Promise.all(names.map((name) => this.loader.readFromStore(name, 'lookUp')));
    return cells.filter((cell) => cell !== undefined);
  }
}

function listForeignNames(home: CellHome, catalogue: Catalogue | undefined): readonly string[] {
  return (catalogue?.services ?? [])
    .map(({ name }) => formatCellName(name, 0))
    .filter((name) => name !== home.name)
    .slice(0, MAX_FOREIGN_CELLS);
}

function countCandidates({ facts }: CellHome, cell: Cell | undefined): number {
  const candidates = (cell?.members ?? []).filter(
    ({ region, vm, state }) => state === 'active' && region === facts.region && vm !== facts.vm,
  );
  return candidates.length;
}
