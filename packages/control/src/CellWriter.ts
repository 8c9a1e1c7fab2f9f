import type { Cell } from '#assignment/Cell.js';
import { createCell } from '#assignment/CreateCell.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import { formatCellName } from '#control/FormatCellName.js';
import { readCell } from '#control/ReadCell.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';
import { updateObject } from '#store/UpdateObject.js';

/** Changes cells in the store with conditional updates, one after another. */
export class CellWriter {
  private readonly store: ObjectStore;
  private readonly writer: string;
  private count = 0;
  private last: Promise<unknown> = Promise.resolve();

  /** `writer` is unique to this run of the process. */
  public constructor(store: ObjectStore, writer: string) {
    this.store = store;
    this.writer = writer;
  }

  /** Applies `change` to the newest cell; nothing is written if it returns the same cell object or undefined. */
  public update(
    service: string,
    index: number,
    change: (cell: Cell) => Cell | undefined,
    pending: readonly PendingWrite[] = [],
  ): Promise<CellOutcome> {
    const run = (): Promise<CellOutcome> => this.run(service, index, change, pending);
    const result = this.last.then(run, run);
    this.last = result;
    return result;
  }

  private async run(
    service: string,
    index: number,
    change: (cell: Cell) => Cell | undefined,
    pending: readonly PendingWrite[],
  ): Promise<CellOutcome> {
    const updated = await updateObject(this.store, {
      name: formatCellName(service, index),
      change: (object) => changeObject(object, service, index, change),
      nextMark: () => `${this.writer}/${(this.count += 1)}`,
      pending,
    });
    if (updated.isLeft()) return { type: 'failed', code: updated.extract().fields.code };
    const outcome = updated.unsafeCoerce();
    switch (outcome.type) {
      case 'accepted':
        return { type: 'accepted', cell: readCell(outcome.object) };
      case 'unchanged':
        return { type: 'unchanged', cell: outcome.object && readCell(outcome.object) };
      case 'conflict':
        return { type: 'failed', code: 'storeConflict' };
      case 'undecided':
        return outcome;
    }
  }
}

function changeObject(
  object: StoreObject | undefined,
  service: string,
  index: number,
  change: (cell: Cell) => Cell | undefined,
): Cell | undefined {
  const current = object === undefined ? createCell(service, index) : readCell(object);
  const next = change(current);
  return next === current ? undefined : next;
}
