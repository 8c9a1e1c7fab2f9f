import { randomBytes } from 'node:crypto';
import type { Either } from 'purify-ts';
import type { Cell } from '#assignment/Cell.js';
import type { MemberFacts } from '#assignment/MemberFacts.js';
import type { RecordedMove } from '#assignment/RecordedMove.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { RouterError } from '#core/RouterError.js';
import type { CellStatus } from '#control/CellStatus.js';
import { CellTask } from '#control/CellTask.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { ControlOptions } from '#control/ControlOptions.js';
import type { ControlStatus } from '#control/ControlStatus.js';
import { decodeRenewCall } from '#control/DecodeRenewCall.js';
import type { DigestCall } from '#control/DigestCall.js';
import { encodeRenewResponse } from '#control/EncodeRenewResponse.js';
import { FenceTask } from '#control/FenceTask.js';
import { formatCellName } from '#control/FormatCellName.js';
import type { HandoverCall } from '#control/HandoverCall.js';
import type { Intent } from '#control/Intent.js';
import type { LeaseStatus } from '#control/LeaseStatus.js';
import { LeaseTask } from '#control/LeaseTask.js';
import { MembershipTask } from '#control/MembershipTask.js';
import { MoveTask } from '#control/MoveTask.js';
import type { PutObject } from '#control/PutObject.js';
import type { PutOutcome } from '#control/PutOutcome.js';
import type { RenewResponse } from '#control/RenewResponse.js';
import type { RenewTuple } from '#control/RenewTuple.js';
import type { SpreadStatus } from '#control/SpreadStatus.js';
import type { ShardLoads } from '#control/ShardLoads.js';
import { SpreadTask } from '#control/SpreadTask.js';
import type { TaskLinks } from '#control/TaskLinks.js';
import { WitnessTask } from '#control/WitnessTask.js';
import { createLeaseConfig } from '#lease/CreateLeaseConfig.js';
import type { PromiseRequest } from '#lease/PromiseRequest.js';

/** Builds the control tasks of one daemon and connects them with the transport and the request path. */
export class ControlPlane {
  private readonly context: ControlContext;
  private readonly cell: CellTask;
  private readonly fence: FenceTask;
  private readonly lease: LeaseTask;
  private readonly membership: MembershipTask;
  private readonly move: MoveTask;
  private readonly spread: SpreadTask;
  private readonly witness: WitnessTask;

  public constructor(options: ControlOptions) {
    this.context = { ...options, leaseConfig: createLeaseConfig(options.settings.timings) };
    const writer = `${options.settings.serverId}/${randomBytes(6).toString('hex')}`;
    const links: TaskLinks = {
      cell: (message) => this.cell.post(message),
      fence: (message) => this.fence.post(message),
      lease: (message) => this.lease.post(message),
      membership: (message) => this.membership.post(message),
      move: (message) => this.move.post(message),
      spread: (message) => this.spread.post(message),
      witness: (message) => this.witness.post(message),
      emit: options.listener,
    };
    this.cell = new CellTask(this.context, links, writer);
    this.fence = new FenceTask(this.context, links);
    this.lease = new LeaseTask(this.context, links);
    this.membership = new MembershipTask(this.context, links);
    this.move = new MoveTask(this.context, links);
    this.spread = new SpreadTask(this.context, links, writer);
    this.witness = new WitnessTask(this.context, links);
    this.registerHandlers();
  }

  /** Loads the catalogue and the intent, and joins the cell `index` of `service`; an empty service joins no cell. */
  public start(facts: MemberFacts, service: string, index = 0): void {
    this.spread.post({ type: 'start' });
    if (service === '') return;
    this.move.post({ type: 'start', incarnation: facts.incarnation });
    const home = { facts, service, index, name: formatCellName(service, index) };
    this.cell.post({ type: 'start', home });
    this.membership.post({ type: 'start', home });
  }

  /** Stops all tasks at once without releasing the lease, which then expires as after a crash. */
  public stop(): void {
    for (const task of [
      this.cell,
      this.fence,
      this.lease,
      this.membership,
      this.move,
      this.spread,
      this.witness,
    ])
      task.stop();
  }

  /**
   * Moves all shards to other members and leaves the cell. Resolves with true once the daemon has left, or with false
   * after `shutdownMs`. The caller then calls `stop` in either case.
   */
  public drain(): Promise<boolean> {
    const { clock, settings } = this.context;
    return new Promise((resolve) => {
      const cancel = clock.schedule(settings.timings.shutdownMs, () => resolve(false));
      const reply = (): void => {
        cancel();
        resolve(true);
      };
      this.membership.post({ type: 'drain', reply });
    });
  }

  /**
   * Requests a takeover of the shards that a drain has not moved, so that the other members need not wait until the
   * witnesses notice the loss. The drain then ends.
   */
  public resign(): void {
    this.membership.post({ type: 'resign' });
  }

  /** Reports the load of this daemon's shards in requests per second; a shard without a value counts as idle. */
  public reportLoad(loads: ShardLoads): void {
    this.spread.post({ type: 'load', loads });
    this.move.post({ type: 'load', serverId: this.context.settings.serverId, loads });
  }

  /**
   * Resolves with the newest version of a cell that this daemon, a peer or the store returns; undefined if none has it.
   * The version is below `minVersion` if no newer one is found.
   */
  public fetchCell(service: string, index: number, minVersion = 1): Promise<Cell | undefined> {
    const name = formatCellName(service, index);
    return this.cell.ask((reply) => ({ type: 'fetch', name, minVersion, reply }));
  }

  /** Replaces the catalogue if its version is still `ifVersion`. */
  public putCatalogue(
    catalogue: Catalogue,
    author: string,
    ifVersion: number,
  ): Promise<Either<RouterError, PutOutcome>> {
    return this.put({ name: 'catalogue', value: catalogue, author, ifVersion });
  }

  /** Replaces the operator intent if its version is still `ifVersion`. */
  public putIntent(
    intent: Intent,
    author: string,
    ifVersion: number,
  ): Promise<Either<RouterError, PutOutcome>> {
    return this.put({ name: 'intent', value: intent, author, ifVersion });
  }

  /** Resolves with the current state of the control tasks. */
  public async readStatus(): Promise<ControlStatus> {
    const [membership, lease, cell, spread] = await Promise.all([
      this.membership.ask<string>((reply) => ({ type: 'status', reply })),
      this.lease.ask<LeaseStatus>((reply) => ({ type: 'status', reply })),
      this.cell.ask<CellStatus>((reply) => ({ type: 'status', reply })),
      this.spread.ask<SpreadStatus>((reply) => ({ type: 'status', reply })),
    ]);
    return { membership, lease, cell, spread };
  }

  /** Resolves with the planned moves of this daemon's shards that are in progress. */
  public readMoves(): Promise<readonly RecordedMove[]> {
    return this.move.ask((reply) => ({ type: 'moves', reply }));
  }

  private put(change: PutObject): Promise<Either<RouterError, PutOutcome>> {
    return this.spread.ask((reply) => ({ type: 'put', change, reply }));
  }

  private registerHandlers(): void {
    const { transport } = this.context;
    transport.handle('probe', () => ({}));
    transport.handle('renew', (params, from) => this.handleRenew(params as RenewTuple, from));
    transport.handle('promise', (params) =>
      this.witness.ask((reply) => ({ type: 'promise', request: params as PromiseRequest, reply })),
    );
    transport.handle('check', (params) => {
      const { serverId, epoch } = params as { readonly serverId: string; readonly epoch: number };
      return this.witness.ask((reply) => ({ type: 'check', serverId, epoch, reply }));
    });
    transport.handle('digest', (params, from) =>
      this.spread.ask((reply) => ({ type: 'digest', call: params as DigestCall, from, reply })),
    );
    transport.handle('handover', (params, from) =>
      this.move.ask((reply) => ({ type: 'handover', call: params as HandoverCall, from, reply })),
    );
    transport.handle('fetch', (params) =>
      this.handleFetch(params as { readonly name: string; readonly since?: number }),
    );
    transport.handle('assigned', (params, from) => {
      const { n, v } = params as { readonly n: string; readonly v: number };
      this.cell.post({ type: 'refresh', name: n, minVersion: v, from });
    });
  }

  private async handleRenew(tuple: RenewTuple, from: string): Promise<unknown> {
    const call = decodeRenewCall(tuple, from);
    this.spread.post({ type: 'seen', digest: call.digest, from });
    const response = await this.witness.ask<RenewResponse | undefined>((reply) => ({
      type: 'renew',
      call,
      reply,
    }));
    return response && encodeRenewResponse(response, call.cell);
  }

  private async handleFetch({
    name,
    since = 0,
  }: {
    readonly name: string;
    readonly since?: number;
  }): Promise<unknown> {
    if (name === 'catalogue') {
      return (await this.spread.ask((reply) => ({ type: 'readSince', since, reply }))) ?? null;
    }
    if (name === 'intent') {
      return (await this.spread.ask((reply) => ({ type: 'read', name, reply }))) ?? null;
    }
    return (await this.cell.ask((reply) => ({ type: 'read', name, reply }))) ?? null;
  }
}
