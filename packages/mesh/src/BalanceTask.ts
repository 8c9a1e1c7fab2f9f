import { Task } from '#core/Task.js';
import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import { balanceFactsCodec } from '#mesh/BalanceFactsCodec.js';
import type { BalanceMessage } from '#mesh/BalanceMessage.js';
import type { BalanceOptions } from '#mesh/BalanceOptions.js';
import { chooseReceiver } from '#mesh/ChooseReceiver.js';
import { emptyView } from '#mesh/EmptyView.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import { listReceivers } from '#mesh/ListReceivers.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import { rpcMethods } from '#mesh/RpcMethods.js';
import type { View } from '#mesh/View.js';

/** An owner of keys whose orders wait longer looks for another owner to give some to, in milliseconds. */
const LONG_WAIT_MS = 60;

/** Least time between two such looks, in milliseconds. */
const PAUSE_MS = 700;

interface Survey {
  readonly open: number;
  readonly answers: readonly BalanceFacts[];
}

/** Gives keys away while orders for them wait, to the owner that the others' own answers show to be least loaded. */
export class BalanceTask extends Task<BalanceMessage> {
  private readonly options: BalanceOptions;
  private view: View = emptyView;
  private facts: LeaseFacts | undefined;
  private load: LoadReport | undefined;
  private survey: Survey | undefined;
  private surveyedMs = -Infinity;

  public constructor(options: BalanceOptions) {
    super();
    this.options = options;
  }

  protected override receive(message: BalanceMessage): void {
    switch (message.type) {
      case 'view':
        this.view = message.view;
        return;
      case 'facts':
        this.facts = message.facts;
        this.look();
        return;
      case 'load':
        this.load = message.load;
        return;
      case 'asked':
        message.reply(this.describe());
        return;
      case 'answered':
        this.noteAnswer(message.value);
    }
  }

  private look(): void {
    const nowMs = this.options.clock.monotonicMs();
    if (this.facts?.mayRelease !== true || this.survey !== undefined) return;
    if ((this.load?.waitMs ?? 0) < LONG_WAIT_MS || nowMs - this.surveyedMs < PAUSE_MS) return;
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
    const request = chooseReceiver(own, answers);
    this.options.logger.log('loadSurveyed', {
      step: 'move',
      waitMs: Math.round(own.waitMs),
      workMsPerSecond: Math.round(own.workMsPerSecond),
      answers: answers.length,
      receiver: request?.to,
    });
    if (request !== undefined) this.options.onRelease(request);
  }

  private describe(): BalanceFacts {
    return {
      serverId: this.options.place.serverId,
      workMsPerSecond: this.facts?.workMsPerSecond ?? 0,
      slots: this.facts?.slots ?? 1,
      waitMs: this.load?.waitMs ?? 0,
      accepts: this.facts?.accepts === true,
    };
  }
}
