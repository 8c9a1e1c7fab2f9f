import type { Cell } from '#assignment/Cell.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CellCache } from '#control/CellCache.js';
import type { CellLoader } from '#control/CellLoader.js';
import type { CellMessage } from '#control/CellMessage.js';
import type { ControlContext } from '#control/ControlContext.js';
import { RandomCellPicker } from '#control/RandomCellPicker.js';
import { PendingFetches } from '#control/PendingFetches.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';

type MessageOf<T extends CellMessage['type']> = Extract<CellMessage, { readonly type: T }>;

/** Only the members' addresses are needed of another service's cell, and they change less often than the cell. */
const FOREIGN_FETCH_INTERVAL_MS = 10_000;

/** Decides when to fetch a cell, with at most one fetch of each in progress. Used only by the cell task. */
export class CellFetcher {
  private readonly pending = new PendingFetches();
  private readonly randomCells: RandomCellPicker;

  public constructor(
    private readonly context: ControlContext,
    private readonly cells: CellCache,
    private readonly loader: CellLoader,
    private readonly onLoaded: (name: string, cell: Cell | undefined) => void,
  ) {
    this.randomCells = new RandomCellPicker(context.random);
  }

  /** Fetches a known cell if a peer holds a newer version of it. */
  public compareVersion({ name, version, from }: MessageOf<'seen'>, ownName: string | undefined): void {
    const known = this.cells.versionOf(name);
    if (known === 0 || version <= known) return;
    const isForeign = name !== ownName;
    if (isForeign && this.pending.ageMs(name, this.nowMs()) < FOREIGN_FETCH_INTERVAL_MS) return;
    this.fetch(name, 'change', from);
  }

  /** Fetches a cell unless the held version is at least `minVersion`. */
  public refresh({ name, minVersion, from }: MessageOf<'refresh'>): void {
    if (this.cells.versionOf(name) >= minVersion) return;
    this.fetch(name, 'change', from === undefined ? undefined : this.cells.directory().get(from));
  }

  /** Replies with a cell, at once if the held version is new enough. */
  public fetchFor({ name, minVersion, reply }: MessageOf<'fetch'>): void {
    const cell = this.cells.get(name);
    if (cell !== undefined && cell.version >= minVersion) {
      reply(cell);
      return;
    }
    this.fetch(name, 'lookUp');
    this.pending.addReply(name, reply);
  }

  /** Fetches a random other cell if one is due. */
  public fetchRandomCell(catalogue: Catalogue | undefined, ownName: string | undefined): void {
    const name = this.randomCells.pick(catalogue, ownName, this.nowMs());
    if (name !== undefined) this.fetch(name, 'lookUp');
  }

  /** Ends a fetch and sends the cell that is held now to the waiting replies. */
  public end(name: string): void {
    for (const reply of this.pending.end(name)) reply(this.cells.get(name));
  }

  private fetch(name: string, purpose: ReadPurpose, from?: PeerAddress): void {
    if (!this.pending.start(name, this.nowMs())) return;
    const loaded = this.loader.load(name, purpose, this.cells.get(name), from);
    void loaded.then((cell) => this.onLoaded(name, cell));
  }

  private nowMs(): number {
    return this.context.clock.monotonicMs();
  }
}
