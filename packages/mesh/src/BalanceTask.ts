import { Task } from '#core/Task.js';
import { countKeys } from '#ranges/CountKeys.js';
import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import { balanceFactsCodec } from '#mesh/BalanceFactsCodec.js';
import type { BalanceMessage } from '#mesh/BalanceMessage.js';
import type { BalanceOptions } from '#mesh/BalanceOptions.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import { planShares } from '#mesh/PlanShares.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { MeshView } from '#mesh/MeshView.js';

/** An owner of keys whose orders wait longer looks for another owner to give some to, in milliseconds. */
const LONG_WAIT_MS = 80;

/** Least time between two such looks, in milliseconds. */
const PAUSE_MS = 600;

/** An owner whose slots are busy for this part of the time looks too, though less often. */
const BUSY_PART = 0.35;
const BUSY_PAUSE_MS = 2_500;

/** Time over which waits are averaged, so that short slowdowns move no keys, in milliseconds. */
const WAIT_AVERAGE_MS = 1_000;

/** Time in which an owner that received keys takes no more, until its load shows them, in milliseconds. */
const DIGEST_MS = 1_000;

const MS_PER_SECOND = 1_000;

interface Survey {
  readonly open: number;
  readonly answers: readonly BalanceFacts[];
}

/** Gives keys away while orders for them wait or slots are busy, to the owners that are less loaded by their own answers. */
export class BalanceTask extends Task<BalanceMessage> {
  private readonly options: BalanceOptions;
  private view: MeshView = emptyMeshView;
  private facts: LeaseFacts | undefined;
  private waitMs = 0;
  private heardMs = 0;
  private baseSlowdown = 1;
  private ownKeys = 0;
  private receivedMs = -Infinity;
  private survey: Survey | undefined;
  private surveyedMs = -Infinity;

  public constructor(options: BalanceOptions) {
    super();
    this.options = options;
  }

  protected override receive(message: BalanceMessage): void {
    switch (message.type) {
      case 'view':
        this.noteView(message.view);
        return;
      case 'facts':
        this.facts = message.facts;
        this.look();
        return;
      case 'load':
        this.noteLoad(message.load.waitMs);
        this.baseSlowdown = message.baseSlowdown;
        return;
      case 'asked':
        message.reply(this.describe());
        return;
      case 'answered':
        this.noteAnswer(message.value);
    }
  }

  private noteView(view: MeshView): void {
    this.view = view;
    const { service, serverId } = this.options.place;
    const rows = view.tables.get(service)?.table.rows ?? [];
    const own = rows.filter((row) => row.serverId === serverId);
    const keys = countKeys(own);
    if (keys > this.ownKeys) this.receivedMs = this.options.clock.monotonicMs();
    this.ownKeys = keys;
  }

  private noteLoad(waitMs: number): void {
    const nowMs = this.options.clock.monotonicMs();
    const weight = 1 - Math.exp(-(nowMs - this.heardMs) / WAIT_AVERAGE_MS);
    this.waitMs += weight * (waitMs - this.waitMs);
    this.heardMs = nowMs;
  }

  /** Average wait, which fades while no load is reported. */
  private averageWaitMs(nowMs: number): number {
    return this.waitMs * Math.exp(-(nowMs - this.heardMs) / WAIT_AVERAGE_MS);
  }

  private look(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (this.facts?.mayRelease !== true || this.survey !== undefined) return;
    const pauseMs = this.pauseMs(this.facts, nowMs);
    if (pauseMs === undefined || nowMs - this.surveyedMs < pauseMs) return;
    const { serverId, service } = this.options.place;
    const others = listReceivers(this.view, service).filter((owner) => owner.serverId !== serverId);
    if (others.length === 0) return;
    this.surveyedMs = nowMs;
    this.survey = { open: others.length, answers: [] };
    for (const other of others) {
      const address = this.view.servers.get(other.serverId)?.address ?? '';
      this.options.call(address, rpcMethods.load, {}, (value) => this.post({ type: 'answered', value }));
    }
  }

  /** Least time since the last survey; undefined if there is no need for one. */
  private pauseMs({ workMsPerSecond, slots }: LeaseFacts, nowMs: number): number | undefined {
    if (this.averageWaitMs(nowMs) >= LONG_WAIT_MS) return PAUSE_MS;
    return workMsPerSecond / (slots * MS_PER_SECOND) >= BUSY_PART ? BUSY_PAUSE_MS : undefined;
  }

  private noteAnswer(value: unknown): void {
    if (this.survey === undefined) return;
    const decoded = balanceFactsCodec.decode(value);
    const answers = decoded.caseOf({
      Left: () => this.survey?.answers ?? [],
      Right: (facts) => [...(this.survey?.answers ?? []), facts],
    });
    const open = this.survey.open - 1;
    this.survey = open > 0 ? { open, answers } : undefined;
    if (open > 0) return;
    const own = this.describe();
    const requests = planShares(own, answers);
    this.options.logger.log('loadSurveyed', {
      step: 'move',
      waitMs: Math.round(own.waitMs),
      workMsPerSecond: Math.round(own.workMsPerSecond),
      answers: answers.length,
      receivers: requests.map(({ to }) => to).join(','),
    });
    if (requests.length > 0) this.options.onRelease(requests);
  }

  private describe(): BalanceFacts {
    const nowMs = this.options.clock.monotonicMs();
    return {
      serverId: this.options.place.serverId,
      workMsPerSecond: this.facts?.workMsPerSecond ?? 0,
      slots: this.facts?.slots ?? 1,
      waitMs: this.averageWaitMs(nowMs),
      baseSlowdown: this.baseSlowdown,
      accepts: this.facts?.accepts === true && nowMs - this.receivedMs > DIGEST_MS,
    };
  }
}
