import type { Cell } from '#assignment/Cell.js';
import { formatCellKey } from '#assignment/FormatCellKey.js';
import type { Member } from '#assignment/Member.js';
import { formatCellName } from '#control/FormatCellName.js';
import { readCell } from '#control/ReadCell.js';
import type { Clock } from '#core/Clock.js';
import type { FleetView } from '#daemon/FleetView.js';
import { runBounded } from '#daemon/RunBounded.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { Transport } from '#rpc/Transport.js';

const MAX_CONCURRENT_READS = 8;
/** Cells are cached for this long, because a listing of several pages reads them once for each page. */
const MAX_CACHE_AGE_MS = 500;
const FETCH_TIMEOUT_MS = 2_000;
/** Members of a cell that are tried before the store, whose calls are limited by a budget. */
const MAX_PEERS_TRIED = 2;

interface CachedCell {
  readonly cell: Cell;
  readonly fetchedAtMs: number;
}

/**
 * Reads the cells of the whole fleet for the administration API. The cell of this daemon comes from its view, other
 * cells come from one of their members, and a cell without a reachable member comes from the store.
 */
export class FleetCells {
  private cache: ReadonlyMap<string, CachedCell> = new Map();

  public constructor(
    private readonly serverId: string,
    private readonly view: () => FleetView,
    private readonly transport: Transport,
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  /** Reads every cell of the services in the catalogue; cells that cannot be found are left out. */
  public async readAll(): Promise<readonly Cell[]> {
    const services = this.view().catalogue?.catalogue.services ?? [];
    const addresses = services.flatMap(({ name, cells }) =>
      Array.from({ length: cells }, (_, index) => ({ name, index })),
    );
    const cells = await runBounded(addresses, MAX_CONCURRENT_READS, ({ name, index }) =>
      this.read(name, index),
    );
    return cells.filter((cell) => cell !== undefined);
  }

  /** Lists the members of all cells. */
  public async listMembers(): Promise<readonly Member[]> {
    return (await this.readAll()).flatMap(({ members }) => members);
  }

  /** Reads one cell; undefined if neither a member nor the store has it. */
  public async read(service: string, index: number): Promise<Cell | undefined> {
    const name = formatCellKey(service, index);
    const nowMs = this.clock.monotonicMs();
    const viewed = this.view().cells.get(name);
    if (viewed !== undefined && hasMember(viewed, this.serverId)) return viewed;
    const cached = this.cache.get(name);
    if (cached !== undefined && nowMs - cached.fetchedAtMs < MAX_CACHE_AGE_MS) return cached.cell;
    const known = pickNewer(viewed, cached?.cell);
    const fetched = await this.fetch(service, index, known);
    const cell = pickNewer(fetched, known);
    if (cell !== undefined) this.cache = new Map(this.cache).set(name, { cell, fetchedAtMs: nowMs });
    return cell;
  }

  private async fetch(service: string, index: number, known: Cell | undefined): Promise<Cell | undefined> {
    const name = formatCellName(service, index);
    const active = known?.members.filter(({ state }) => state === 'active') ?? [];
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    for (const peer of active.slice(0, MAX_PEERS_TRIED)) {
      const response = await this.transport.call(peer, 'fetch', { name }, options);
      const cell = response.orDefault(null) as Cell | null;
      if (cell !== null) return cell;
    }
    const read = await this.store.get(name);
    return read.map((object) => object && readCell(object)).orDefault(undefined);
  }
}

function pickNewer(left: Cell | undefined, right: Cell | undefined): Cell | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return left.version >= right.version ? left : right;
}

/** Whether a server is a member of the cell. A member learns of each change within a second, so its view is current. */
function hasMember({ members }: Cell, serverId: string): boolean {
  return members.some((member) => member.serverId === serverId && member.state !== 'gone');
}
