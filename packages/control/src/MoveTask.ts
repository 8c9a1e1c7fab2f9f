import type { Cell } from '#assignment/Cell.js';
import type { CellLoads } from '#assignment/CellLoads.js';
import { createMoveBudget } from '#assignment/CreateMoveBudget.js';
import { findMember } from '#assignment/FindMember.js';
import { isWithdrawn } from '#assignment/IsWithdrawn.js';
import type { Move } from '#assignment/Move.js';
import type { MoveBudget } from '#assignment/MoveBudget.js';
import { emptyLoads } from '#assignment/EmptyLoads.js';
import { planMoves } from '#assignment/PlanMoves.js';
import type { RecordedMove } from '#assignment/RecordedMove.js';
import { recordMoves } from '#assignment/RecordMoves.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { compileChart } from '#chart/CompileChart.js';
import type { Cancel } from '#core/Cancel.js';
import { TickingTask } from '#core/TickingTask.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { HandoverResponse } from '#control/HandoverResponse.js';
import type { Intent } from '#control/Intent.js';
import { exceedsFairShare } from '#control/ExceedsFairShare.js';
import type { MoveCommand } from '#control/MoveCommand.js';
import type { MoveContext } from '#control/MoveContext.js';
import type { MoveEvent } from '#control/MoveEvent.js';
import type { MoveMessage } from '#control/MoveMessage.js';
import { moveRules } from '#control/MoveRules.js';
import { emptyIntent } from '#control/EmptyIntent.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import { splitRecords } from '#control/SplitRecords.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import file from '../charts/move.json' with { type: 'json' };

type MessageOf<T extends MoveMessage['type']> = Extract<MoveMessage, { readonly type: T }>;

interface LoadReport {
  readonly loads: ShardLoads;
  readonly atMs: number;
}

const CHART = compileChart('move.json', file, moveRules);
const PLAN_INTERVAL_MS = 2_000;
/** A leaving member has 3 s (`MoveBudget.drainMs`) to move its shards, which takes several batches a second. */
const DRAIN_PLAN_INTERVAL_MS = 250;
/** Requests in progress on a shard end by their deadlines; a release that takes longer is abandoned. */
const RELEASE_TIMEOUT_MS = 10_000;
const HANDOVER_TIMEOUT_MS = 3_000;
/** Load reports travel with digests between random peers, so receiving one from each of 64 members takes about 20 s. */
const MAX_LOAD_REPORT_AGE_MS = 60_000;

/** Executes the planned moves of this daemon's shards, and receives the idempotency records of shards moved to it. */
export class MoveTask extends TickingTask<MoveMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private incarnation = '';
  private cell: Cell | undefined;
  private intent: Intent = emptyIntent;
  private budget: MoveBudget = createMoveBudget();
  private reports: ReadonlyMap<string, LoadReport> = new Map();
  private transfers: ReadonlyMap<number, ChartSnapshot<MoveContext>> = new Map();
  /** Records of handovers whose last part has not arrived yet. */
  private partialRecords: ReadonlyMap<string, ShardRecords> = new Map();
  private lastTransferId = 0;
  /** Cancels the release timeout of each transfer, by transfer id. */
  private releaseTimeouts: ReadonlyMap<number, Cancel> = new Map();

  public constructor(context: ControlContext, links: TaskLinks) {
    super(context.clock);
    this.context = context;
    this.links = links;
  }

  public override stop(): void {
    super.stop();
    for (const cancel of this.releaseTimeouts.values()) cancel();
  }

  protected override receive(message: MoveMessage): void {
    switch (message.type) {
      case 'start':
        this.incarnation = message.incarnation;
        this.scheduleNextTick();
        return;
      case 'cell':
        this.cell = message.cell;
        return;
      case 'intent':
        this.intent = message.intent;
        return;
      case 'load':
        this.noteLoad(message);
        return;
      case 'handover':
        message.reply(this.acceptRecords(message));
        return;
      case 'transfer':
        this.advance(message.transferId, message.event);
        return;
      case 'moves':
        message.reply(this.listMoves());
        return;
      case 'tick':
        this.scheduleNextTick();
        this.startDueMoves();
    }
  }

  private listMoves(): readonly RecordedMove[] {
    const moves = [...this.transfers.values()].flatMap(({ context }) => context.moves);
    const recorded = new Map(this.budget.recent.map((move) => [move.shardId, move]));
    return moves.flatMap((move) => recorded.get(move.shardId) ?? []);
  }

  private noteLoad({ serverId, loads }: MessageOf<'load'>): void {
    const report = { loads, atMs: this.context.clock.monotonicMs() };
    this.reports = new Map([...this.reports, [serverId, report]]);
  }

  private startDueMoves(): void {
    const { cell } = this;
    const own = this.context.settings.serverId;
    if (cell === undefined || findMember(cell, own)?.incarnation !== this.incarnation) return;
    const nowMs = this.context.clock.monotonicMs();
    const loads = this.mergeLoads(cell, nowMs);
    if (
      !this.isLeaving() &&
      !(this.context.store.hasSpareCalls() && exceedsFairShare(cell, own, loads ?? emptyLoads))
    )
      return;
    const planned = planMoves(cell, loads ?? emptyLoads, this.intent.withdrawals, this.budget, nowMs);
    const inTransfer = new Set(
      [...this.transfers.values()].flatMap(({ context }) => listShards(context.moves)),
    );
    const moves = planned.filter(
      ({ from, shardId, reason }) =>
        from === own && !inTransfer.has(shardId) && (loads !== undefined || reason === 'drain'),
    );
    this.budget = recordMoves(this.budget, moves, nowMs);
    for (const to of new Set(moves.map((move) => move.to))) {
      this.beginTransfer(
        to,
        moves.filter((move) => move.to === to),
      );
    }
  }

  /**
   * Merges the load reports. Without any report, all shards have the same weight. Returns undefined while reports of
   * some active members are missing, because those members would seem idle and attract shards.
   */
  private mergeLoads(cell: Cell, nowMs: number): CellLoads | undefined {
    if (this.reports.size === 0) return emptyLoads;
    const recent = new Map([...this.reports].filter(([, { atMs }]) => nowMs - atMs < MAX_LOAD_REPORT_AGE_MS));
    const live = cell.members.filter((member) => member.state === 'active');
    if (!live.every(({ serverId }) => recent.has(serverId))) return undefined;
    const entries = [...recent.values()].flatMap(({ loads }) => Object.entries(loads));
    return { shards: new Map(entries), shares: new Map() };
  }

  private beginTransfer(to: string, moves: readonly Move[]): void {
    const transferId = (this.lastTransferId += 1);
    this.context.logger.log('moveBegun', { step: 'move', peer: to, shards: moves.length });
    this.setTransfer(transferId, { value: CHART.initial, context: { moves, to, records: [] } });
    const requests = moves.map(({ shardId }) => {
      const reply = (records: ShardRecords): void =>
        this.postEvent(transferId, { type: 'released', records });
      return { type: 'release', shardId, reply } as const;
    });
    this.links.cell({ type: 'withhold', requests });
    const expire = (): void => this.postEvent(transferId, { type: 'releaseExpired' });
    const cancel = this.context.clock.schedule(RELEASE_TIMEOUT_MS, expire);
    this.releaseTimeouts = new Map([...this.releaseTimeouts, [transferId, cancel]]);
  }

  private advance(transferId: number, event: MoveEvent): void {
    const before = this.transfers.get(transferId);
    if (before === undefined) return;
    const { snapshot, commands } = advanceChart(CHART, before, event);
    if (CHART.finalStates.has(snapshot.value)) {
      const { to, moves } = snapshot.context;
      const fields = { step: 'move', peer: to, shards: moves.length, outcome: snapshot.value } as const;
      this.context.logger.log('moveEnded', fields);
      this.transfers = new Map([...this.transfers].filter(([id]) => id !== transferId));
      this.releaseTimeouts.get(transferId)?.();
      this.releaseTimeouts = new Map([...this.releaseTimeouts].filter(([id]) => id !== transferId));
    } else this.setTransfer(transferId, snapshot);
    for (const command of commands) this.execute(transferId, snapshot.context, command);
  }

  private execute(transferId: number, context: MoveContext, command: MoveCommand): void {
    const { moves, to, records } = context;
    switch (command.type) {
      case 'send':
        void this.sendRecords(to, records).then((incarnation) =>
          this.postEvent(transferId, { type: 'sent', incarnation }),
        );
        return;
      case 'write': {
        const reply = ({ type }: CellOutcome): void =>
          this.postEvent(transferId, { type: 'written', accepted: type === 'accepted' });
        this.links.cell({ type: 'complete', moves, to, incarnation: command.incarnation, reply });
        return;
      }
      case 'restore':
        this.links.cell({ type: 'restore', shardIds: listShards(moves) });
    }
  }

  /** Returns the incarnation that confirmed all records; undefined if a call failed or the process was replaced. */
  private async sendRecords(to: string, records: readonly ShardRecords[]): Promise<string | undefined> {
    const peer = this.cell && findMember(this.cell, to);
    if (peer === undefined) return undefined;
    const options = { channel: 'http', timeoutMs: HANDOVER_TIMEOUT_MS } as const;
    for (const call of records.flatMap(splitRecords)) {
      const response = await this.context.transport.call(peer, 'handover', call, options);
      const incarnation = response.map((value) => (value as HandoverResponse).incarnation).orDefault('');
      if (incarnation !== peer.incarnation) return undefined;
    }
    return peer.incarnation;
  }

  private acceptRecords({ call, from }: MessageOf<'handover'>): HandoverResponse | undefined {
    if (this.cell === undefined || findMember(this.cell, from) === undefined) return undefined;
    const { records, more } = call;
    const key = `${from}/${records.shardId}/${records.token}`;
    const earlier = this.partialRecords.get(key)?.records ?? [];
    const merged: ShardRecords = { ...records, records: [...earlier, ...records.records] };
    this.partialRecords = new Map([...this.partialRecords].filter(([other]) => other !== key));
    if (more) this.partialRecords = new Map([...this.partialRecords, [key, merged]]);
    else this.links.emit({ type: 'adopt', records: merged });
    return { incarnation: this.incarnation };
  }

  private postEvent(transferId: number, event: MoveEvent): void {
    this.post({ type: 'transfer', transferId, event });
  }

  private setTransfer(transferId: number, snapshot: ChartSnapshot<MoveContext>): void {
    this.transfers = new Map([...this.transfers, [transferId, snapshot]]);
  }

  private isLeaving(): boolean {
    const own = this.cell && findMember(this.cell, this.context.settings.serverId);
    return own?.state === 'draining' || (own !== undefined && isWithdrawn(own, this.intent.withdrawals));
  }

  /** Adds jitter, so that the owners of a cell plan at different times and see each other's moves. */
  private scheduleNextTick(): void {
    const everyMs = this.isLeaving() ? DRAIN_PLAN_INTERVAL_MS : PLAN_INTERVAL_MS;
    const delayMs = everyMs * (0.5 + this.context.random.fraction());
    this.scheduleTick(delayMs);
  }
}

function listShards(moves: readonly Move[]): readonly string[] {
  return moves.map((move) => move.shardId);
}
