import type { Fence } from '#assignment/Fence.js';
import { TickingTask } from '#core/TickingTask.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { Directory } from '#control/Directory.js';
import type { FenceMessage } from '#control/FenceMessage.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { createFenceState } from '#lease/CreateFenceState.js';
import type { FenceCommand } from '#lease/FenceCommand.js';
import type { FenceEvent } from '#lease/FenceEvent.js';
import type { FenceState } from '#lease/FenceState.js';
import type { PromiseReply } from '#lease/PromiseReply.js';
import { stepFence } from '#lease/StepFence.js';

/** Collects the witness promises that this daemon needs before it may use shards taken over from lost members. */
export class FenceTask extends TickingTask<FenceMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private fences: ReadonlyMap<number, FenceState> = new Map();
  private directory: Directory = new Map();
  private confirmedLost: readonly string[] = [];

  public constructor(context: ControlContext, links: TaskLinks) {
    super(context.clock);
    this.context = context;
    this.links = links;
  }

  protected override receive(message: FenceMessage): void {
    const nowMs = this.context.clock.monotonicMs();
    switch (message.type) {
      case 'directory':
        this.directory = message.directory;
        return;
      case 'fences':
        this.replaceFences(message.fences, nowMs);
        return;
      case 'confirmedLost':
        this.confirmedLost = message.serverIds;
        this.noteConfirmedLost([...this.fences.keys()], nowMs);
        return;
      case 'reply': {
        const { fenceId, witness, reply } = message;
        this.step(fenceId, { type: 'promiseReply', witness, nowMs, ...reply });
        return;
      }
      case 'tick':
        for (const fenceId of this.fences.keys()) this.step(fenceId, { type: 'tick', nowMs });
        this.scheduleNextTick();
    }
  }

  private replaceFences(fences: readonly Fence[], nowMs: number): void {
    const added = fences.filter((fence) => !this.fences.has(fence.id));
    this.fences = new Map(fences.map((fence) => [fence.id, this.fences.get(fence.id) ?? createFenceState()]));
    for (const fence of added) {
      this.context.logger.log('fenceBegun', { step: 'takeover', peer: fence.serverId, epoch: fence.epoch });
      this.step(fence.id, { type: 'begin', fence, nowMs });
    }
    this.noteConfirmedLost(
      added.map((fence) => fence.id),
      nowMs,
    );
    this.scheduleNextTick();
  }

  private noteConfirmedLost(fenceIds: readonly number[], nowMs: number): void {
    for (const fenceId of fenceIds) {
      for (const serverId of this.confirmedLost)
        this.step(fenceId, { type: 'confirmedLost', serverId, nowMs });
    }
  }

  private step(fenceId: number, event: FenceEvent): void {
    const before = this.fences.get(fenceId);
    if (before === undefined) return;
    const { state, commands } = stepFence(before, event, this.context.leaseConfig);
    this.fences = new Map([...this.fences, [fenceId, state]]);
    for (const command of commands) this.execute(fenceId, command);
  }

  private execute(fenceId: number, command: FenceCommand): void {
    if (command.type === 'satisfied') {
      const peer = this.fences.get(fenceId)?.context.fence.serverId ?? '';
      this.context.logger.log('fenceSatisfied', { step: 'takeover', peer });
      this.links.cell({ type: 'fenceSatisfied', fenceId });
      return;
    }
    void this.sendPromise(fenceId, command);
  }

  private async sendPromise(
    fenceId: number,
    { witness, request }: Extract<FenceCommand, { readonly type: 'sendPromise' }>,
  ): Promise<void> {
    const peer = this.directory.get(witness);
    if (peer === undefined) return;
    const timeoutMs = this.context.leaseConfig.leaseMs;
    const response = await this.context.transport.call(peer, 'promise', request, {
      channel: 'udp',
      timeoutMs,
    });
    response.ifRight((value) => this.post({ type: 'reply', fenceId, witness, reply: value as PromiseReply }));
  }

  /** Schedules a tick only while a fence is not satisfied. */
  private scheduleNextTick(): void {
    const isOpen = [...this.fences.values()].some((state) => state.value !== 'satisfied');
    if (isOpen) this.scheduleTick(this.context.leaseConfig.renewEveryMs / 4);
    else this.cancelTick();
  }
}
