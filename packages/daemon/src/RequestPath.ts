import { randomUUID } from 'node:crypto';
import type { QuotaRequest } from '#admission/QuotaRequest.js';
import { QuotaClient } from '#admission/QuotaClient.js';
import type { QuotaGrant } from '#admission/QuotaGrant.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import type { ControlEvent } from '#control/ControlEvent.js';
import type { Clock } from '#core/Clock.js';
import { ContinueOnFault } from '#core/ContinueOnFault.js';
import { RandomSource } from '#core/RandomSource.js';
import { BackendTask } from '#proxy/BackendTask.js';
import { CallerPort } from '#proxy/CallerPort.js';
import { EntryTask } from '#proxy/EntryTask.js';
import { ForwardTask } from '#proxy/ForwardTask.js';
import { HopTask } from '#proxy/HopTask.js';
import { OwnerTask } from '#proxy/OwnerTask.js';
import { quotaConstants } from '#proxy/QuotaConstants.js';
import { QuotaTask } from '#proxy/QuotaTask.js';
import { ReceiptTask } from '#proxy/ReceiptTask.js';
import type { RequestMark } from '#proxy/RequestMark.js';
import { FleetHopSigner } from '#daemon/FleetHopSigner.js';
import type { RequestPathListener } from '#daemon/RequestPathListener.js';
import type { Settings } from '#settings/Settings.js';

/** Builds and connects the tasks that serve callers' requests. */
export class RequestPath {
  public readonly owner: OwnerTask;
  public readonly entry: EntryTask;
  private readonly backend: BackendTask;
  private readonly forward: ForwardTask;
  private readonly hop: HopTask;
  private readonly quota: QuotaTask;
  private readonly receipts: ReceiptTask;
  private readonly port: CallerPort;
  private callerPort = 0;

  public constructor(
    private readonly settings: Settings,
    clock: Clock,
    seed: number,
    listener: RequestPathListener,
  ) {
    const { serverId, region, failureDomain, host, fleetKey, timings } = settings;
    const identity = { serverId, region, failureDomain };
    const signer = new FleetHopSigner(fleetKey, clock);
    this.owner = new OwnerTask(
      serverId,
      timings.onceHorizonMs,
      clock,
      (message) => this.backend.post(message),
      {
        onLoad: listener.onLoad,
        onMarks: listener.onMarks,
        onBackend: listener.onBackend,
        onResponse: listener.onResponse,
      },
    );
    this.backend = new BackendTask(
      serverId,
      () => `${host}:${this.callerPort}`,
      clock,
      (signal) => this.owner.post(signal),
    );
    this.forward = new ForwardTask(serverId, clock, signer);
    this.hop = new HopTask(identity, clock, signer, (message) => this.owner.post(message));
    this.quota = new QuotaTask(clock);
    this.receipts = new ReceiptTask(clock, (receipt, outcome) =>
      this.entry.post({ type: 'receiptEnded', receipt, outcome }),
    );
    this.entry = new EntryTask(
      identity,
      clock,
      new RandomSource(seed),
      new QuotaClient(quotaConstants, `${serverId}/${randomUUID()}`),
      new PowerOfTwoChoices(),
      {
        postToOwner: (message) => this.owner.post(message),
        postToForward: (message) => this.forward.post(message),
        postToQuota: (message) => this.quota.post(message),
        postToReceipts: (message) => this.receipts.post(message),
      },
      listener,
    );
    this.port = new CallerPort(
      clock,
      (message) => this.entry.post(message),
      (message) => this.hop.post(message),
      (message) => this.receipts.post(message),
    );
    const policy = new ContinueOnFault();
    for (const task of [this.entry, this.hop, this.forward, this.receipts]) task.setFaultPolicy(policy);
  }

  /** Opens the ports for callers and for announcements. */
  public async start(): Promise<{ readonly caller: number; readonly backend: number }> {
    this.callerPort = await this.port.start(this.settings.ports.caller, this.settings.host);
    const backend = await this.backend.start(this.settings.ports.backend);
    this.owner.start();
    this.entry.start();
    this.receipts.start();
    return { caller: this.callerPort, backend };
  }

  /** Passes an event of the control plane to the tasks that need it. */
  public apply(event: ControlEvent): void {
    switch (event.type) {
      case 'cell':
        this.owner.post(event);
        this.entry.post(event);
        this.hop.post(event);
        this.quota.post(event);
        break;
      case 'catalogue':
        this.entry.post(event);
        this.quota.post(event);
        this.hop.post(event);
        break;
      case 'ownership':
        this.owner.post(event);
        this.quota.post(event);
        break;
      case 'release':
      case 'adopt':
        this.owner.post(event);
        break;
      case 'intent':
        this.entry.post(event);
        break;
    }
  }

  /** Applies marks that other daemons sent for requests during which a backend server crashed. */
  public applyMarks(marks: readonly RequestMark[]): void {
    this.owner.post({ type: 'marks', marks });
  }

  /** Grants another daemon a share of a quota; undefined if this daemon does not hold the limits of the entry. */
  public handleQuotaRequest(quotaRequest: QuotaRequest): Promise<QuotaGrant | undefined> {
    return this.quota.ask<QuotaGrant | undefined>((reply) => ({ type: 'ask', ask: quotaRequest, reply }));
  }

  /** Applies a quota grant of another daemon. */
  public applyQuotaGrant(grant: QuotaGrant): void {
    this.entry.post({ type: 'slice', slice: grant });
  }

  /** Keeps serving, but ends each caller's connection after its next response. */
  public announceClose(): void {
    this.port.disableKeepAlive();
  }

  /** Accepts no new requests and resolves when no request is open. */
  public async close(): Promise<void> {
    this.port.close();
    await Promise.all([
      new Promise<void>((resolve) => this.entry.post({ type: 'close', reply: resolve })),
      new Promise<void>((resolve) => this.hop.post({ type: 'close', reply: resolve })),
    ]);
    await new Promise<void>((resolve) => this.owner.post({ type: 'drain', reply: resolve }));
  }

  /** Resolves when all connections of callers and other daemons have ended. */
  public waitConnectionsEnded(): Promise<void> {
    return this.port.waitEnded();
  }

  /** Stops all tasks at once. */
  public stop(): void {
    this.port.stop();
    for (const task of [
      this.entry,
      this.hop,
      this.receipts,
      this.forward,
      this.quota,
      this.owner,
      this.backend,
    ])
      task.stop();
  }

  /** Resolves with the counts of the requests that arrived at this daemon, by team and class. */
  public readCounts(): Promise<readonly DeliveryCounts[]> {
    return this.entry.ask<readonly DeliveryCounts[]>((reply) => ({ type: 'counts', reply }));
  }
}
