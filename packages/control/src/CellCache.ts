import type { Cell } from '#assignment/Cell.js';
import { buildDirectory } from '#control/BuildDirectory.js';
import type { Directory } from '#control/Directory.js';

/** The newest known version of each cell, by the name of its object. Used by the cell task alone. */
export class CellCache {
  private cells: ReadonlyMap<string, Cell> = new Map();

  public get(name: string): Cell | undefined {
    return this.cells.get(name);
  }

  /** Version of a cell; 0 if it is unknown. */
  public versionOf(name: string): number {
    return this.cells.get(name)?.version ?? 0;
  }

  /** Keeps a cell that is newer than the known one; returns whether it is. */
  public put(name: string, cell: Cell): boolean {
    if (cell.version <= this.versionOf(name)) return false;
    this.cells = new Map([...this.cells, [name, cell]]);
    return true;
  }

  /** Lists the members of all cells. */
  public directory(): Directory {
    return buildDirectory(this.cells.values());
  }
}
