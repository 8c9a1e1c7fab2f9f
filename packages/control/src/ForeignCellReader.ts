import type { Cell } from '#assignment/Cell.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CellHome } from '#control/CellHome.js';
import type { CellLoader } from '#control/CellLoader.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { Clock } from '#core/Clock.js';

/** Cells of other services that a daemon reads to find witnesses outside a small cell. */
const MAX_FOREIGN_CELLS = 8;
const MIN_REFRESH_INTERVAL_MS = 2_000;
/** Cells without enough members in a region stay so for long; the store is asked less and less often. */
const MAX_REFRESH_INTERVAL_MS = 60_000;
const WITNESS_COUNT = 3;

/** Reads the cells of other services, whose members serve as witnesses of a small cell. Used by the cell task alone. */
export class ForeignCellReader {
  private lastReadAtMs = Number.NEGATIVE_INFINITY;
  private refreshIntervalMs = MIN_REFRESH_INTERVAL_MS;

  public constructor(
    private readonly clock: Clock,
    private readonly loader: CellLoader,
  ) {}

  /** Reads the cells if the own one has too few witnesses and the last read is long enough ago. */
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
    const cells = await Promise.all(names.map((name) => this.loader.readStored(name, 'lookUp')));
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
