import type { Cell } from '#assignment/Cell.js';
import { listOtherMembers } from '#assignment/ListOtherMembers.js';
import type { ControlContext } from '#control/ControlContext.js';
import { parseSeed } from '#control/ParseSeed.js';
import { readCell } from '#control/ReadCell.js';
import type { StoreHealthTracker } from '#control/StoreHealthTracker.js';
import type { PeerAddress } from '#rpc/PeerAddress.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';

const FETCH_TIMEOUT_MS = 2_000;

/** Loads cells from peers or from the store, and records whether the store could be read. */
export class CellLoader {
  private readonly seeds: readonly PeerAddress[];

  public constructor(
    private readonly context: ControlContext,
    private readonly health: StoreHealthTracker,
  ) {
    this.seeds = context.settings.seeds.map(parseSeed);
  }

  /**
   * Asks the peer `from`, which reported a newer version, then a random member of the cell, a random seed, and finally
   * the store. `known` is the cell as this daemon holds it.
   */
  public async load(
    name: string,
    purpose: ReadPurpose,
    known: Cell | undefined,
    from?: PeerAddress,
  ): Promise<Cell | undefined> {
    const { random, settings } = this.context;
    const version = known?.version ?? 0;
    const members = listOtherMembers(known?.members ?? [], settings.serverId);
    const peers = [from, random.pick(members), random.pick(this.seeds)];
    for (const peer of peers) {
      const cell = peer && (await this.fetchFrom(peer, name));
      if (cell !== undefined && cell.version > version) return cell;
    }
    return this.readFromStore(name, purpose);
  }

  /** Reads a cell from the store. */
  public async readFromStore(name: string, purpose: ReadPurpose): Promise<Cell | undefined> {
    const read = await this.context.store.get(name, purpose);
    this.health.noteRead(read.isRight());
    const object = read.orDefault(undefined);
    return object && readCell(object);
  }

  private async fetchFrom(peer: PeerAddress, name: string): Promise<Cell | undefined> {
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    const response = await this.context.transport.call(peer, 'fetch', { name }, options);
    return (response.orDefault(null) as Cell | null) ?? undefined;
  }
}
