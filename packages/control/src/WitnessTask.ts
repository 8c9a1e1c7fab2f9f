import { randomBytes } from 'node:crypto';
import type { Cell } from '#assignment/Cell.js';
import { findMember } from '#assignment/FindMember.js';
import type { Member } from '#assignment/Member.js';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { compileChart } from '#chart/CompileChart.js';
import { TickingTask } from '#core/TickingTask.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { Digest } from '#control/Digest.js';
import type { Directory } from '#control/Directory.js';
import { emptyDigest } from '#control/EmptyDigest.js';
import type { SuspicionCommand } from '#control/SuspicionCommand.js';
import type { SuspicionContext } from '#control/SuspicionContext.js';
import { suspicionRules } from '#control/SuspicionRules.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import type { WitnessMessage } from '#control/WitnessMessage.js';
import { createWitnessState } from '#lease/CreateWitnessState.js';
import { majorityOf } from '#lease/MajorityOf.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessCommand } from '#lease/WitnessCommand.js';
import type { WitnessEvent } from '#lease/WitnessEvent.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { CallOptions } from '#rpc/CallOptions.js';
import file from '../charts/suspicion.json' with { type: 'json' };

type MessageOf<T extends WitnessMessage['type']> = Extract<WitnessMessage, { readonly type: T }>;

interface Suspicion {
  readonly epoch: number;
  readonly cellName: string;
  readonly holder: Member;
  readonly snapshot: ChartSnapshot<SuspicionContext>;
}

const CHART = compileChart('suspicion.json', file, suspicionRules);

/** Renews the leases of other daemons, gives promises to new owners, and reports holders that fell silent. */
export class WitnessTask extends TickingTask<WitnessMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private state: WitnessState = createWitnessState();
  private cells: ReadonlyMap<string, Cell> = new Map();
  /** Name of the cell that lists each holder, by server id; learned from renewals and from cells. */
  private cellNames: ReadonlyMap<string, string> = new Map();
  private suspicions: ReadonlyMap<string, Suspicion> = new Map();
  private confirmedLost: readonly string[] = [];
  private digest: Digest = emptyDigest;

  public constructor(context: ControlContext, links: TaskLinks) {
    super(context.clock);
    this.context = context;
    this.links = links;
    const nonce = randomBytes(6).toString('base64');
    this.step({ type: 'started', nowMs: context.clock.monotonicMs(), nonce });
    this.scheduleTick(this.context.leaseConfig.renewEveryMs / 4);
  }

  protected override receive(message: WitnessMessage): void {
    const nowMs = this.context.clock.monotonicMs();
    switch (message.type) {
      case 'renew':
        this.handleRenew(message, nowMs);
        return;
      case 'promise':
        this.handlePromise(message, nowMs);
        return;
      case 'check':
        this.handleCheck(message, nowMs);
        return;
      case 'cell':
        this.adoptCell(message, nowMs);
        return;
      case 'confirmedLost':
        this.confirmedLost = message.serverIds;
        return;
      case 'digest':
        this.digest = message.digest;
        return;
      case 'suspicion':
        this.advanceSuspicion(message);
        return;
      case 'tick':
        this.scheduleTick(this.context.leaseConfig.renewEveryMs / 4);
        for (const command of this.step({ type: 'tick', nowMs })) {
          if (command.type === 'suspect') this.beginSuspicion(command.serverId, command.epoch);
        }
    }
  }

  private handleRenew({ call, reply }: MessageOf<'renew'>, nowMs: number): void {
    const { request, cell } = call;
    if (this.cellNames.get(request.serverId) !== cell)
      this.cellNames = new Map([...this.cellNames, [request.serverId, cell]]);
    const command = this.step({ type: 'renew', request, nowMs }).find(({ type }) => type === 'replyRenew');
    reply(command?.type === 'replyRenew' ? { reply: command.reply, digest: this.digest } : undefined);
  }

  private handlePromise({ request, reply }: MessageOf<'promise'>, nowMs: number): void {
    const command = this.step({ type: 'promise', request, nowMs }).find(
      ({ type }) => type === 'replyPromise',
    );
    reply(command?.type === 'replyPromise' ? command.reply : undefined);
  }

  private handleCheck({ serverId, epoch, reply }: MessageOf<'check'>, nowMs: number): void {
    const event = { type: 'check', serverId, epoch, nowMs } as const;
    const command = this.step(event).find(({ type }) => type === 'replyCheck');
    reply(command?.type === 'replyCheck' ? { silent: command.silent } : undefined);
  }

  /** Monitors the members that list this daemon as a witness, and forgets holders that no longer do. */
  private adoptCell({ name, cell }: MessageOf<'cell'>, nowMs: number): void {
    this.cells = new Map([...this.cells, [name, cell]]);
    for (const member of cell.members) {
      const { serverId, epoch } = member;
      if (!this.isWitnessOf(member)) continue;
      this.cellNames = new Map([...this.cellNames, [serverId, name]]);
      this.step({ type: 'watch', serverId, epoch, nowMs });
    }
    for (const [serverId, home] of this.cellNames) {
      if (home === name) this.forgetUnlisted(serverId, findMember(cell, serverId), nowMs);
    }
  }

  private forgetUnlisted(serverId: string, member: Member | undefined, nowMs: number): void {
    if (member !== undefined && this.isWitnessOf(member)) return;
    const record = this.state.context.records.get(serverId);
    const knownEpoch = Math.max(record?.epoch ?? 0, record?.watchedEpoch ?? 0);
    const isOver = member?.state === 'gone';
    const epoch = member === undefined ? knownEpoch : isOver ? member.epoch : member.epoch - 1;
    this.step({ type: 'forget', serverId, epoch, nowMs });
    this.cellNames = new Map([...this.cellNames].filter(([id]) => id !== serverId));
  }

  private isWitnessOf(member: Member): boolean {
    return member.state !== 'gone' && member.witnesses.includes(this.context.settings.serverId);
  }

  private step(event: WitnessEvent): readonly WitnessCommand[] {
    const { state, commands } = stepWitness(this.state, event, this.context.leaseConfig);
    this.state = state;
    return commands;
  }

  /** Delays the suspicion by the rank of this witness, so that usually the first witness alone does the work. */
  private beginSuspicion(serverId: string, epoch: number): void {
    const found = this.findHolder(serverId);
    if (found === undefined) {
      const name = this.cellNames.get(serverId);
      if (name !== undefined) this.links.cell({ type: 'refresh', name, minVersion: 1 });
      return;
    }
    const { name: cellName, holder } = found;
    if (holder.epoch > epoch || holder.state === 'gone' || this.suspicions.has(serverId)) return;
    const others = holder.witnesses.length - 1;
    const needed = majorityOf(holder.witnesses.length) - 1;
    const snapshot = { value: CHART.initial, context: { needed, open: others } };
    this.setSuspicion(serverId, { epoch, cellName, holder, snapshot });
    const rank = Math.max(0, holder.witnesses.indexOf(this.context.settings.serverId));
    const delayMs = (rank * this.context.leaseConfig.renewEveryMs) / 2;
    this.context.clock.schedule(delayMs, () =>
      this.post({ type: 'suspicion', serverId, epoch, event: 'due' }),
    );
  }

  private advanceSuspicion({ serverId, epoch, event }: MessageOf<'suspicion'>): void {
    const suspicion = this.suspicions.get(serverId);
    if (suspicion?.epoch !== epoch) return;
    const holder = this.findHolder(serverId)?.holder;
    if (holder === undefined || holder.state === 'gone' || holder.epoch > epoch) {
      this.dropSuspicion(serverId);
      return;
    }
    const { snapshot, commands } = advanceChart(CHART, suspicion.snapshot, { type: event });
    if (CHART.finalStates.has(snapshot.value)) this.dropSuspicion(serverId);
    else this.setSuspicion(serverId, { ...suspicion, snapshot });
    for (const command of commands) this.executeSuspicion(command, suspicion);
  }

  private executeSuspicion(command: SuspicionCommand, { cellName, holder, epoch }: Suspicion): void {
    const { serverId } = holder;
    this.context.logger.log('suspicion', { step: 'witness', peer: serverId, epoch, next: command });
    if (command === 'report') {
      this.links.cell({ type: 'suspect', report: { cellName, serverId, epoch } });
      return;
    }
    if (command === 'probe') {
      void this.probe(holder, epoch);
      return;
    }
    const own = this.context.settings.serverId;
    for (const witness of holder.witnesses) if (witness !== own) void this.askWitness(witness, holder, epoch);
  }

  private async askWitness(witness: string, { serverId }: Member, epoch: number): Promise<void> {
    const peer = this.directory().get(witness);
    const response =
      peer &&
      (await this.context.transport.call(peer, 'check', { serverId, epoch }, this.shortCallOptions(2)));
    const isLost = this.confirmedLost.includes(witness);
    const silent = response?.map((value) => (value as { readonly silent: boolean }).silent).orDefault(false);
    this.post({ type: 'suspicion', serverId, epoch, event: isLost || silent === true ? 'agreed' : 'denied' });
  }

  private async probe(holder: Member, epoch: number): Promise<void> {
    const response = await this.context.transport.call(holder, 'probe', {}, this.shortCallOptions(4));
    const event = response.isRight() ? 'answered' : 'unanswered';
    this.post({ type: 'suspicion', serverId: holder.serverId, epoch, event });
  }

  /** Witness and holder are in one region, where a round trip takes about 1 ms. */
  private shortCallOptions(divisor: number): CallOptions {
    return { channel: 'udp', timeoutMs: this.context.leaseConfig.renewEveryMs / divisor };
  }

  private findHolder(serverId: string): { readonly name: string; readonly holder: Member } | undefined {
    const homes = [...this.cells].flatMap(([name, cell]) => {
      const holder = findMember(cell, serverId);
      return holder === undefined ? [] : [{ name, holder }];
    });
    return homes.sort((left, right) => right.holder.epoch - left.holder.epoch)[0];
  }

  private directory(): Directory {
    const members = [...this.cells.values()].flatMap((cell) => cell.members);
    return new Map(members.map((member) => [member.serverId, member]));
  }

  private setSuspicion(serverId: string, suspicion: Suspicion): void {
    this.suspicions = new Map([...this.suspicions, [serverId, suspicion]]);
  }

  private dropSuspicion(serverId: string): void {
    this.suspicions = new Map([...this.suspicions].filter(([id]) => id !== serverId));
  }
}
