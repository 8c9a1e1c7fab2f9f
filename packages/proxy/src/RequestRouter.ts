import type { Either } from 'purify-ts';
import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import { putCell } from '#assignment/PutCell.js';
import type { WithdrawalTarget } from '#assignment/WithdrawalTarget.js';
import type { BalancePolicy } from '#balance/BalancePolicy.js';
import { OutlierDetector } from '#balance/OutlierDetector.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { chooseTarget } from '#proxy/ChooseTarget.js';
import type { EntryIdentity } from '#proxy/EntryIdentity.js';
import { InterRegionMeter } from '#proxy/InterRegionMeter.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';
import type { RoutingView } from '#proxy/RoutingView.js';
import type { Target } from '#proxy/Target.js';

const NO_SERVERS: ReadonlySet<string> = new Set();

/** Chooses the daemon for each request of an entry task, by its routing view and the results of earlier requests. */
export class RequestRouter {
  private readonly outliers = new OutlierDetector();
  private readonly meter = new InterRegionMeter();
  private current: RoutingView = { index: undefined, cells: new Map(), withdrawn: [] };

  public constructor(
    private readonly identity: EntryIdentity,
    private readonly balance: BalancePolicy,
    private readonly random: RandomSource,
  ) {}

  /** Catalogue, cells and withdrawals that requests are routed by. */
  public get view(): RoutingView {
    return this.current;
  }

  public setCatalogue(catalogue: VersionedCatalogue): void {
    this.current = { ...this.current, index: indexCatalogue(catalogue) };
  }

  public setWithdrawn(withdrawn: readonly WithdrawalTarget[]): void {
    this.current = { ...this.current, withdrawn };
  }

  /** Applies a cell update and returns the active members of all cells. */
  public setCell(cell: Cell): readonly Member[] {
    const cells = putCell(this.current.cells, cell);
    this.current = { ...this.current, cells };
    const active = [...cells.values()].flatMap(({ members }) =>
      members.filter(({ state }) => state === 'active'),
    );
    const ids = active.map(({ serverId }) => serverId);
    this.balance.retain(new Set(ids));
    this.outliers.setPool(ids);
    return active;
  }

  /** Chooses the target of the next attempt, or refuses the attempt. */
  public choose(open: OpenExchange, nowMs: number): Either<RouterErrorFields, Target> {
    const { head, checked } = open.exchange;
    const excluded = checked.needsOwnership ? NO_SERVERS : this.listExcluded(open, nowMs);
    const { region, failureDomain } = this.identity;
    const facts = { head, checked, region, failureDomain, excluded };
    return chooseTarget(this.current, facts, this.balance, this.random, nowMs).chain((target) =>
      this.meter.admit(target, open.exchange, nowMs),
    );
  }

  /** Notes that a request was sent to a server. */
  public noteStart(serverId: string): void {
    this.balance.noteStarted(serverId);
  }

  /** Notes the end of the current attempt. */
  public noteEnd({ attempt }: OpenExchange, ok: boolean, nowMs: number): void {
    const serverId = attempt.target?.member.serverId;
    if (serverId === undefined) return;
    const latencyMs = nowMs - attempt.startedMs;
    this.balance.noteFinished(serverId, latencyMs, ok, nowMs);
    this.outliers.observe(serverId, latencyMs, ok, nowMs);
  }

  /** Counts a chunk of a response towards the inter-region limit, if it came from another region. */
  public noteBytes(open: OpenExchange, bytes: number, nowMs: number): void {
    this.meter.add(open, bytes, nowMs);
  }

  private listExcluded({ exchange, attempt }: OpenExchange, nowMs: number): ReadonlySet<string> {
    const ejected = this.outliers.excluded(nowMs);
    if (ejected.size === 0) return attempt.tried;
    const trial = exchange.checked.entry.repeatable ? this.outliers.nextTrial(nowMs) : undefined;
    return new Set([...attempt.tried, ...[...ejected].filter((serverId) => serverId !== trial)]);
  }
}
