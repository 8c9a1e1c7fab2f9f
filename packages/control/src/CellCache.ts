import type { Cell } from '#assignment/Cell.js';
import { buildDirectory } from '#control/BuildDirectory.js';
import type { Directory } from '#control/Directory.js';

/** Holds the newest known version of each cell by object name. Used only by the cell task. */
export class CellCache {
  private cells: ReadonlyMap<string, Cell> = new Map();

  public get(name: string): Cell | undefined {
    return this.cells.get(name);
  }

  /** Returns the held version of a cell; 0 if the cell is unknown. */
  public versionOf(name: string): number {
    return this.cells.get(name)?.version ?? 0;
  }

  /** Stores a cell if it is newer than the held one; returns whether it was stored. */
  public put(name: string, cell: Cell): boolean {
    if (cell.version <= this.versionOf(name)) return false;
    this.cells = new Map([...this.cells, [name, cell]]);
    return true;
  }

  /** Returns the members of all held cells by server id. */
  public directory(): Directory {
    return buildDirectory(this.cells.values());
  }
}
