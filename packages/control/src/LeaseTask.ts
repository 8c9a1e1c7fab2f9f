import { TickingTask } from '#core/TickingTask.js';
import type { ControlContext } from '#control/ControlContext.js';
import { decodeRenewResponse } from '#control/DecodeRenewResponse.js';
import type { Digest } from '#control/Digest.js';
import type { Directory } from '#control/Directory.js';
import { encodeRenewCall } from '#control/EncodeRenewCall.js';
import type { LeaseMessage } from '#control/LeaseMessage.js';
import { emptyDigest } from '#control/EmptyDigest.js';
import type { RenewResponseTuple } from '#control/RenewResponseTuple.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { createHolderState } from '#lease/CreateHolderState.js';
import type { HolderCommand } from '#lease/HolderCommand.js';
import type { HolderEvent } from '#lease/HolderEvent.js';
import type { HolderState } from '#lease/HolderState.js';
import { stepHolder } from '#lease/StepHolder.js';

/** Holds the lease of this daemon: sends renewals to its witnesses and reports the end of the lease. */
export class LeaseTask extends TickingTask<LeaseMessage> {
  private readonly context: ControlContext;
  private readonly links: TaskLinks;
  private state: HolderState;
  private directory: Directory = new Map();
  private digest: Digest = emptyDigest;
  private cellName = '';
  private granted = 0;
  private lost = 0;

  public constructor(context: ControlContext, links: TaskLinks) {
    super(context.clock);
    this.context = context;
    this.links = links;
    this.state = createHolderState(context.settings.serverId);
    this.scheduleNextTick();
  }

  protected override receive(message: LeaseMessage): void {
    // Whole milliseconds keep renewals short. Rounding down makes each lease end earlier, never later.
    const nowMs = Math.floor(this.context.clock.monotonicMs());
    switch (message.type) {
      case 'directory':
        this.directory = message.directory;
        return;
      case 'digest':
        this.digest = message.digest;
        return;
      case 'status':
        this.replyStatus(message.reply);
        return;
      case 'tick':
        this.scheduleNextTick();
        this.step({ type: 'tick', nowMs });
        return;
      case 'reply':
        this.step({ type: 'renewReply', witness: message.witness, nowMs, ...message.reply });
        return;
      case 'registered':
        this.cellName = message.cellName;
        this.step({ ...message, startedMs: Math.floor(message.startedMs), nowMs });
        return;
      case 'registrationRefused':
        this.step({ ...message, nowMs });
        return;
      case 'registering':
        this.step({ ...message, startedMs: Math.floor(message.startedMs) });
    }
  }

  private step(event: HolderEvent): void {
    const before = this.state;
    const { state, commands } = stepHolder(before, event, this.context.leaseConfig);
    this.state = state;
    if (state.value !== before.value) this.logChange(before.value);
    for (const command of commands) this.execute(command);
  }

  private execute(command: HolderCommand): void {
    switch (command.type) {
      case 'leaseChanged':
        this.links.cell({ type: 'lease', epoch: command.epoch, leaseEndMs: command.leaseEndMs });
        this.links.membership({ type: 'lease', leaseEndMs: command.leaseEndMs });
        return;
      case 'reRegister':
        this.links.membership({ ...command, type: 'register' });
        return;
      case 'sendRenew':
        void this.sendRenewal(command);
    }
  }

  private async sendRenewal({
    witness,
    request,
  }: Extract<HolderCommand, { readonly type: 'sendRenew' }>): Promise<void> {
    const peer = this.directory.get(witness);
    if (peer === undefined) return;
    const { cellName } = this;
    const call = encodeRenewCall({ request, cell: cellName, digest: this.digest });
    const timeoutMs = this.context.leaseConfig.leaseMs;
    const response = await this.context.transport.call(peer, 'renew', call, { channel: 'udp', timeoutMs });
    if (response.isLeft()) this.lost += 1;
    response.ifRight((value) => {
      const { reply, digest } = decodeRenewResponse(value as RenewResponseTuple, cellName);
      if (reply.granted) this.granted += 1;
      else this.lost += 1;
      this.post({ type: 'reply', witness, reply });
      this.links.spread({ type: 'seen', digest, from: witness });
    });
  }

  /** Ticks twice per renewal interval, so that an expiry is noticed before the next round is due. */
  private scheduleNextTick(): void {
    this.scheduleTick(this.context.leaseConfig.renewEveryMs / 2);
  }

  private replyStatus(reply: Extract<LeaseMessage, { readonly type: 'status' }>['reply']): void {
    const { epoch, leaseEndMs, links } = this.state.context;
    const witnesses = links.map(({ witness }) => witness);
    const { granted, lost } = this;
    reply({ state: this.state.value, epoch, leaseEndMs, witnesses, granted, lost });
  }

  private logChange(from: string): void {
    const { epoch } = this.state.context;
    this.context.logger.log('leaseState', { step: 'lease', from, to: this.state.value, epoch });
  }
}
