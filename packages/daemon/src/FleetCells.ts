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

const WIDTH = 8;
/** An answer of a peer is used again for this time, as a listing of several pages asks once for each page. */
const FRESH_MS = 500;
const FETCH_TIMEOUT_MS = 2_000;
/** Members of a cell that are asked for it before the store, whose calls are counted. */
const PEERS_ASKED = 2;

interface HeldCell {
  readonly cell: Cell;
  readonly atMs: number;
}

/**
 * Reads the cells of the whole fleet for the administration API: its own cell as the control tasks hold it, others from
 * one of their members, and a cell that is not known at all from the store.
 */
export class FleetCells {
  private held: ReadonlyMap<string, HeldCell> = new Map();

  public constructor(
    private readonly serverId: string,
    private readonly view: () => FleetView,
    private readonly transport: Transport,
    private readonly store: ObjectStore,
    private readonly clock: Clock,
  ) {}

  /** Reads every cell of the services in the catalogue; those that nobody holds are left out. */
  public async readAll(): Promise<readonly Cell[]> {
    const services = this.view().catalogue?.catalogue.services ?? [];
    const addresses = services.flatMap(({ name, cells }) =>
      Array.from({ length: cells }, (_, index) => ({ name, index })),
    );
    const cells = await runBounded(addresses, WIDTH, ({ name, index }) => this.read(name, index));
    return cells.filter((cell) => cell !== undefined);
  }

  /** Lists the members of all cells. */
  public async listMembers(): Promise<readonly Member[]> {
    return (await this.readAll()).flatMap(({ members }) => members);
  }

  /** Reads one cell; undefined if nobody holds it. */
  public async read(service: string, index: number): Promise<Cell | undefined> {
    const name = formatCellKey(service, index);
    const nowMs = this.clock.monotonicMs();
    const routed = this.view().cells.get(name);
    if (routed !== undefined && isListed(routed, this.serverId)) return routed;
    const held = this.held.get(name);
    if (held !== undefined && nowMs - held.atMs < FRESH_MS) return held.cell;
    const known = newer(routed, held?.cell);
    const fetched = await this.fetch(service, index, known);
    const cell = newer(fetched, known);
    if (cell !== undefined) this.held = new Map(this.held).set(name, { cell, atMs: nowMs });
    return cell;
  }

  private async fetch(service: string, index: number, known: Cell | undefined): Promise<Cell | undefined> {
    const name = formatCellName(service, index);
    const live = known?.members.filter(({ state }) => state === 'active') ?? [];
    const options = { channel: 'http', timeoutMs: FETCH_TIMEOUT_MS } as const;
    for (const peer of live.slice(0, PEERS_ASKED)) {
      const answer = await this.transport.call(peer, 'fetch', { name }, options);
      const cell = answer.orDefault(null) as Cell | null;
      if (cell !== null) return cell;
    }
    const read = await this.store.get(name);
    return read.map((object) => object && readCell(object)).orDefault(undefined);
  }
}

function newer(left: Cell | undefined, right: Cell | undefined): Cell | undefined {
  if (left === undefined || right === undefined) return left ?? right;
  return left.version >= right.version ? left : right;
}

/** A member of a cell hears of each change within a second. */
function isListed({ members }: Cell, serverId: string): boolean {
  return members.some((member) => member.serverId === serverId && member.state !== 'gone');
}
