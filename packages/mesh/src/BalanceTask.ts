import { Task } from '#core/Task.js';
import { countKeys } from '#ranges/CountKeys.js';
import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import { ownerLoadReportCodec } from '#mesh/OwnerLoadReportCodec.js';
import type { BalanceMessage } from '#mesh/BalanceMessage.js';
import type { BalanceOptions } from '#mesh/BalanceOptions.js';
import { computeSurveyInterval } from '#mesh/ComputeSurveyInterval.js';
import { emptyMeshView } from '#mesh/EmptyMeshView.js';
import { isNearlyFull } from '#mesh/IsNearlyFull.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import { planShares } from '#mesh/PlanShares.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Time constant of the average wait; a short slowdown must not move keys. */
const WAIT_AVERAGE_MS = 1_000;

/** An owner that received keys takes no more for this long, until its load reflects them. */
const SETTLING_MS = 1_000;

interface Survey {
  readonly pending: number;
  readonly replies: readonly OwnerLoadReport[];
}

/**
 * Releases keys to less loaded owners while requests for them wait or slots are busy. Surveys the other owners'
 * load first.
 */
export class BalanceTask extends Task<BalanceMessage> {
  private readonly options: BalanceOptions;
  private view: MeshView = emptyMeshView;
  private facts: LeaseReport | undefined;
  private waitMs = 0;
  private loadReportedMs = 0;
  private baseSlowdown = 1;
  private ownKeys = 0;
  private receivedMs = -Infinity;
  private survey: Survey | undefined;
  private surveyedMs = -Infinity;
  /** Number of surveys in a row that this owner made in vain while it was nearly full. */
  private fruitlessSurveys = 0;

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
        this.surveyIfDue();
        return;
      case 'load':
        this.noteLoad(message.load.waitMs);
        this.baseSlowdown = message.baseSlowdown;
        return;
      case 'asked':
        message.reply(this.describeLoad());
        return;
      case 'answered':
        this.noteReply(message.value);
    }
  }

  private noteView(view: MeshView): void {
    this.view = view;
    const { service, serverId } = this.options.identity;
    const rows = view.tables.get(service)?.table.rows ?? [];
    const own = rows.filter((row) => row.serverId === serverId);
    const keys = countKeys(own);
    if (keys > this.ownKeys) this.receivedMs = this.options.clock.monotonicMs();
    this.ownKeys = keys;
  }

  private noteLoad(waitMs: number): void {
    const nowMs = this.options.clock.monotonicMs();
    const weight = 1 - Math.exp(-(nowMs - this.loadReportedMs) / WAIT_AVERAGE_MS);
    this.waitMs += weight * (waitMs - this.waitMs);
    this.loadReportedMs = nowMs;
  }

  /** Average wait, which decays while no load is reported. */
  private averageWaitMs(nowMs: number): number {
    return this.waitMs * Math.exp(-(nowMs - this.loadReportedMs) / WAIT_AVERAGE_MS);
  }

  private surveyIfDue(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (this.facts?.mayRelease !== true || this.survey !== undefined) return;
    const intervalMs = computeSurveyInterval(this.describeLoad(), this.fruitlessSurveys);
    if (intervalMs === undefined || nowMs - this.surveyedMs < intervalMs) return;
    const { serverId, service } = this.options.identity;
    const others = listReceivers(this.view, service).filter((owner) => owner.serverId !== serverId);
    if (others.length === 0) return;
    this.surveyedMs = nowMs;
    this.survey = { pending: others.length, replies: [] };
    for (const other of others) {
      const address = this.view.servers.get(other.serverId)?.address ?? '';
      this.options.call(address, rpcMethods.load, {}, (value) => this.post({ type: 'answered', value }));
    }
  }

  private noteReply(value: unknown): void {
    if (this.survey === undefined) return;
    const decoded = ownerLoadReportCodec.decode(value);
    const replies = decoded.caseOf({
      Left: () => this.survey?.replies ?? [],
      Right: (facts) => [...(this.survey?.replies ?? []), facts],
    });
    const pending = this.survey.pending - 1;
    this.survey = pending > 0 ? { pending, replies } : undefined;
    if (pending > 0) return;
    const own = this.describeLoad();
    const requests = planShares(own, replies);
    this.fruitlessSurveys = requests.length === 0 && isNearlyFull(own) ? this.fruitlessSurveys + 1 : 0;
    this.options.logger.log('loadSurveyed', {
      step: 'move',
      waitMs: Math.round(own.waitMs),
      workMsPerSecond: Math.round(own.workMsPerSecond),
      answers: replies.length,
      receivers: requests.map(({ to }) => to).join(','),
    });
    if (requests.length > 0) this.options.onRelease(requests);
  }

  private describeLoad(): OwnerLoadReport {
    const nowMs = this.options.clock.monotonicMs();
    return {
      serverId: this.options.identity.serverId,
      workMsPerSecond: this.facts?.workMsPerSecond ?? 0,
      slots: this.facts?.slots ?? 1,
      waitMs: this.averageWaitMs(nowMs),
      baseSlowdown: this.baseSlowdown,
      accepts: this.facts?.accepts === true && nowMs - this.receivedMs > SETTLING_MS,
    };
  }
}
