import { IncomingMessage, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import { setImmediate } from 'node:timers/promises';
import { QuotaClient } from '#admission/QuotaClient.js';
import type { Cell } from '#assignment/Cell.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import { EntryTask } from '#proxy/EntryTask.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import { quotaConstants } from '#proxy/QuotaConstants.js';
import { QuotaTask } from '#proxy/QuotaTask.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { createMember } from './CreateMember.js';
import { createTestCell } from './CreateTestCell.js';
import { listTestShards } from './ListTestShards.js';

const STEP_MS = 10;

interface Held {
  readonly request: RoutedRequest;
  readonly endMs: number;
}

/** The entry tasks and quota tasks of two daemons on a manual clock; every admitted request takes `holdMs`. */
export class QuotaFleet {
  public readonly admittedAtMs: number[] = [];
  public peakInFlight = 0;
  private readonly clock = new ManualClock();
  private readonly quotas: ReadonlyMap<string, QuotaTask>;
  private readonly entries: readonly EntryTask[];
  private held: readonly Held[] = [];

  public constructor(
    limits: EntryLimits,
    private readonly holdMs: number,
  ) {
    const ids = ['d1', 'd2'];
    this.quotas = new Map(ids.map((id) => [id, new QuotaTask(this.clock)]));
    this.entries = ids.map((id) => this.createEntry(id));
    const catalogue = createTestCatalogue(limits);
    for (const task of [...this.quotas.values(), ...this.entries])
      task.post({ type: 'catalogue', catalogue });
    for (const entry of this.entries) entry.start();
    this.own('d1', this.route('d1', 1));
  }

  /** Routes quota requests to `owner`, which need not own the shards yet. */
  public route(owner: string, token: number): Cell {
    const cell = createTestCell([createMember('d1'), createMember('d2')], owner, token);
    for (const task of [...this.quotas.values(), ...this.entries]) task.post({ type: 'cell', cell });
    return cell;
  }

  /** Makes `owner` the only owner of the shards; with an empty name, no daemon owns them. */
  public own(owner: string, cell: Cell): void {
    for (const [id, quota] of this.quotas) {
      const shards = id === owner ? listTestShards(cell) : new Map();
      quota.post({ type: 'ownership', epoch: 1, leaseEndMs: Infinity, shards });
    }
  }

  /** Sends `perStep` requests to each of the first `senders` entry tasks every 10 ms. */
  public async run(durationMs: number, perStep: number, senders = 2): Promise<void> {
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.clock.advance(STEP_MS);
      for (const { request } of this.held.filter(({ endMs: dueMs }) => dueMs <= this.nowMs))
        endRequest(request);
      this.held = this.held.filter(({ endMs: dueMs }) => dueMs > this.nowMs);
      await setImmediate();
      for (const entry of this.entries.slice(0, senders)) {
        for (let count = 0; count < perStep; count += 1) entry.post({ type: 'request', ...createRequest() });
      }
      await setImmediate();
    }
  }

  /** Returns the number of requests admitted in `[fromMs, toMs)`. */
  public countAdmitted(fromMs: number, toMs: number): number {
    return this.admittedAtMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
  }

  public get nowMs(): number {
    return this.clock.monotonicMs();
  }

  public stop(): void {
    for (const entry of this.entries) entry.stop();
  }

  private createEntry(serverId: string): EntryTask {
    const ignore = (): void => undefined;
    const accept = (request: RoutedRequest): void => {
      this.admittedAtMs.push(this.nowMs);
      this.held = [...this.held, { request, endMs: this.nowMs + this.holdMs }];
      this.peakInFlight = Math.max(this.peakInFlight, this.held.length);
    };
    const entry: EntryTask = new EntryTask(
      { serverId, region: 'r1', failureDomain: 'a' },
      this.clock,
      new RandomSource(1),
      new QuotaClient(quotaConstants, serverId),
      new PowerOfTwoChoices(),
      {
        postToOwner: (message) => message.type === 'order' && accept(message.request),
        postToForward: (message) => message.type === 'forward' && accept(message.request),
        postToQuota: (message) => this.quotas.get(serverId)?.post(message),
        postToReceipts: ignore,
      },
      {
        onEnd: ignore,
        onReceipt: ignore,
        onCellNeeded: ignore,
        onQuotaRequest: (holder, request) =>
          this.quotas.get(holder.serverId)?.post({
            type: 'ask',
            ask: request,
            reply: (grant) => grant && entry.post({ type: 'slice', slice: grant }),
          }),
      },
    );
    return entry;
  }
}

/** Ends a request with an error that is not retried. */
function endRequest(request: RoutedRequest): void {
  const fields = { code: 'test', step: 'backend', peer: '', ran: 'not run', status: 400 } as const;
  request.emit({ type: 'refused', fields });
}

function createRequest(): { readonly req: IncomingMessage; readonly res: ServerResponse } {
  const req = new IncomingMessage(new Socket());
  req.method = 'GET';
  req.url = '/v1/badges/x';
  req.headers = { 'amr-team': 'alpha', 'amr-class': 'look', 'amr-key': 'k' };
  return { req, res: new ServerResponse(req) };
}
