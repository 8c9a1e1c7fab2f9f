import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import type { Cell } from '#assignment/Cell.js';
import type { Member } from '#assignment/Member.js';
import { SystemClock } from '#core/SystemClock.js';
import { RequestPath } from '#daemon/RequestPath.js';
import type { DeliveryCounts } from '#delivery/DeliveryCounts.js';
import type { EntryEnd } from '#proxy/EntryEnd.js';
import type { OwnerReport } from '#proxy/OwnerReport.js';
import type { RequestMark } from '#proxy/RequestMark.js';
import type { Settings } from '#settings/Settings.js';
import { createMember } from './CreateMember.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { createTestCell } from './CreateTestCell.js';
import { FakeBackend } from './FakeBackend.js';
import { listTestShards } from './ListTestShards.js';
import { sendRequest } from './SendRequest.js';
import { waitUntil } from './WaitUntil.js';

const LEASE_MS = 60_000;

/** The request path of one daemon with real sockets and a fake backend server; the test replaces the control tasks. */
export class TestNode {
  public readonly ends: EntryEnd[] = [];
  public readonly marks: RequestMark[] = [];
  public readonly cellsNeeded: string[] = [];
  public readonly path: RequestPath;
  public readonly clock = new SystemClock();
  public port = 0;
  private fake: FakeBackend | undefined;

  public constructor(
    private readonly serverId = 'd1',
    private readonly checksToken = true,
  ) {
    const settings = {
      serverId,
      region: 'r1',
      failureDomain: 'a',
      host: '127.0.0.1',
      fleetKey: 'test-fleet-key',
      ports: { caller: 0, peer: 0, udp: 0, admin: 0, backend: 0 },
      timings: { onceHorizonMs: 600_000 },
    } as unknown as Settings;
    const ignore = (): void => undefined;
    this.path = new RequestPath(settings, this.clock, 1, {
      onEnd: (end) => this.ends.push(end),
      onReceipt: ignore,
      onCellNeeded: (service, index) => this.cellsNeeded.push(`${service}/${index}`),
      onQuotaRequest: ignore,
      onLoad: ignore,
      onMarks: (marks) => this.marks.push(...marks),
      onBackend: ignore,
      onResponse: ignore,
    });
  }

  public get backend(): FakeBackend {
    if (this.fake === undefined) throw new Error('the node is not started');
    return this.fake;
  }

  public get member(): Member {
    return createMember(this.serverId, this.port);
  }

  /** Opens the ports and starts the fake backend server. */
  public async start(catalogue: VersionedCatalogue = createTestCatalogue()): Promise<this> {
    const { caller, backend } = await this.path.start();
    this.port = caller;
    this.fake = new FakeBackend(`http://127.0.0.1:${backend}`, this.checksToken);
    this.path.apply({ type: 'catalogue', catalogue });
    await this.fake.start();
    await waitUntil('the backend server is known', async () => (await this.report()).backend !== undefined);
    return this;
  }

  /** Applies a cell in which this daemon owns all shards, and grants it a lease. */
  public own(leaseMs = LEASE_MS, token = 1): Cell {
    const cell = createTestCell([this.member], this.serverId, token);
    this.path.apply({ type: 'cell', cell });
    this.grant(cell, leaseMs);
    return cell;
  }

  /** Grants a lease on all shards of a cell except for the shard `except`. */
  public grant(cell: Cell, leaseMs: number, except = ''): void {
    const shards = new Map([...listTestShards(cell)].filter(([shardId]) => shardId !== except));
    const leaseEndMs = this.clock.monotonicMs() + leaseMs;
    this.path.apply({ type: 'ownership', epoch: 1, leaseEndMs, shards });
  }

  /** Sends requests until slow start has ended, then clears the list of runs. */
  public async warmUp(): Promise<void> {
    await waitUntil('slow start has ended', async () => {
      await Promise.all(Array.from({ length: this.member.slots }, () => sendRequest(this.port)));
      return (await this.report()).limit === this.member.slots;
    });
    this.backend.runs.length = 0;
  }

  public report(): Promise<OwnerReport> {
    return this.path.owner.ask((reply) => ({ type: 'report', reply }));
  }

  /** Returns the delivery counts of one class of the team `alpha`. */
  public async counts(requestClass: string): Promise<DeliveryCounts | undefined> {
    const all = await this.path.entry.ask<readonly DeliveryCounts[]>((reply) => ({ type: 'counts', reply }));
    return all.find((counts) => counts.class === requestClass);
  }

  public stop(): void {
    this.fake?.stop();
    this.path.stop();
  }
}
