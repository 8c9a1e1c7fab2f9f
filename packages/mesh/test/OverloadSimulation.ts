import { RandomSource } from '#core/RandomSource.js';
import type { Route } from '#routes/Route.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import { ServerAdmission } from '#mesh/ServerAdmission.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { createEntry } from './CreateEntry.js';
import { createTestRequest } from './CreateTestRequest.js';
import { EventQueue } from './EventQueue.js';
import { LegacyAdmission } from './LegacyAdmission.js';
import { OverloadEntry } from './OverloadEntry.js';
import type { OverloadKind } from './OverloadKind.js';
import { OverloadServer } from './OverloadServer.js';

const CALLER_DELAY_MS = 8;
const DOMAIN_DELAY_MS = 1;
const REGION_DELAY_MS = 20;
const REGIONS = 3;

/** Worth of a response after the target latency, as a fraction of its full worth. */
const LATE_WORTH = 0.4;

interface Settings {
  readonly kinds: readonly OverloadKind[];
  /** Name of the kind of request that `calls` refers to. */
  readonly callKind: string;
  readonly servers: ReadonlyMap<string, readonly number[]>;
  readonly slots: number;
  readonly daemons: number;
  /** Outside requests per second of a service at a time. */
  readonly rate: (service: string, nowMs: number) => number;
  readonly retries: number;
  readonly seed: number;
  readonly isLegacy: boolean;
  readonly shedFraction?: number;
}

/** Result of the outside requests of one kind. */
interface KindResult {
  readonly offered: number;
  readonly inTime: number;
  readonly late: number;
  readonly refused: number;
  /** Requests that were held for over half their target latency by daemons and reached no server. */
  readonly held: number;
  readonly attempts: number;
  readonly worth: number;
}

const NONE: KindResult = { offered: 0, inTime: 0, late: 0, refused: 0, held: 0, attempts: 0, worth: 0 };

interface Caller {
  readonly kind: OverloadKind;
  readonly firstMs: number;
  readonly attempts: number;
  readonly heldMs: number;
  readonly reached: boolean;
}

/** Plays callers, entry daemons and servers under more demand than capacity, without a network. */
export class OverloadSimulation {
  public readonly events = new EventQueue();
  public readonly results = new Map<string, KindResult>();
  /** Outside requests served in each 100 ms, by service. */
  public readonly servedPer100Ms = new Map<string, number[]>();
  /** Times at which outside requests ended without a response. */
  public readonly refusedMs: number[] = [];
  public lostCalls = 0;
  public calls = 0;
  private readonly settings: Settings;
  /** Sources for the requests of callers and for service times, so that the former do not depend on the latter. */
  private readonly demand: RandomSource;
  private readonly random: RandomSource;
  private readonly servers = new Map<string, OverloadServer>();
  private readonly entriesByService = new Map<string, readonly ServerEntry[]>();
  private readonly daemons: readonly OverloadEntry[];
  private readonly kindById = new Map<string, OverloadKind>();
  private readonly startedIds = new Set<string>();
  private requests = 0;
  private stopMs = Infinity;

  public constructor(settings: Settings) {
    this.settings = settings;
    this.demand = new RandomSource(settings.seed + 1);
    this.random = new RandomSource(settings.seed);
    let address = 0;
    for (const [service, speeds] of settings.servers) {
      const entries = speeds.map((speed, index) => {
        address += 1;
        const daemon = address - 1;
        const region = `r${daemon % REGIONS}`;
        const serverId = `${service}${index}`;
        const admission = settings.isLegacy ? new LegacyAdmission() : new ServerAdmission();
        this.servers.set(
          serverId,
          new OverloadServer(
            this.events,
            settings.slots,
            admission,
            this.random,
            (request, done) => this.work(request, speed, daemon, done),
            index === 0 ? settings.shedFraction : 0,
          ),
        );
        return createEntry('a', { serverId, service, region, failureDomain: region, slots: settings.slots });
      });
      this.entriesByService.set(service, entries);
    }
    this.daemons = Array.from({ length: settings.daemons }, (_each, index) => this.createDaemon(index));
  }

  /** Slot time that earned nothing, as a fraction of all slot time. */
  public get wastedFraction(): number {
    return this.fractionOf(({ wastedMs }) => wastedMs);
  }

  /** Slot time that was used, as a fraction of all slot time. */
  public get usedFraction(): number {
    return this.fractionOf(({ usedMs }) => usedMs);
  }

  /** Sum over all kinds. */
  public get total(): KindResult {
    return [...this.results.values()].reduce(add, NONE);
  }

  public run(durationMs: number): void {
    this.stopMs = durationMs;
    for (const service of this.settings.servers.keys()) this.scheduleArrival(service);
    this.events.runUntil(durationMs + 10_000);
  }

  private fractionOf(timeMs: (server: OverloadServer) => number): number {
    const all = [...this.servers.values()];
    const totalMs = all.reduce((sum, { slots }) => sum + slots, 0) * this.stopMs;
    return all.reduce((sum, server) => sum + timeMs(server), 0) / totalMs;
  }

  private createDaemon(index: number): OverloadEntry {
    const region = `r${index % REGIONS}`;
    const delayMs = (server: ServerEntry): number =>
      server.region === region ? DOMAIN_DELAY_MS : REGION_DELAY_MS;
    return new OverloadEntry(this.events, {
      region,
      seed: this.settings.seed + index,
      daemons: this.settings.daemons,
      isLegacy: this.settings.isLegacy,
      servers: (service) => this.entriesByService.get(service) ?? [],
      send: (request, server, reply) =>
        this.events.schedule(delayMs(server), () =>
          this.servers
            .get(server.serverId)!
            .accept(request, (result) => this.events.schedule(delayMs(server), () => reply(result))),
        ),
      cancel: (id, server) =>
        this.events.schedule(delayMs(server), () => this.servers.get(server.serverId)!.cancel(id)),
    });
  }

  private scheduleArrival(service: string): void {
    const rate = this.settings.rate(service, this.events.nowMs);
    const gapMs = (-Math.log(1 - this.demand.fraction()) * 1_000) / Math.max(1, rate);
    this.events.schedule(gapMs, () => {
      if (this.events.nowMs > this.stopMs) return;
      const kind = this.pickKind(service);
      this.attempt({ kind, firstMs: this.events.nowMs, attempts: 0, heldMs: 0, reached: false });
      this.scheduleArrival(service);
    });
  }

  private pickKind(service: string): OverloadKind {
    const kinds = this.settings.kinds.filter((kind) => kind.service === service && kind.fraction > 0);
    let left = this.demand.fraction() * kinds.reduce((sum, { fraction }) => sum + fraction, 0);
    for (const kind of kinds) {
      left -= kind.fraction;
      if (left <= 0) return kind;
    }
    return kinds[0]!;
  }

  private attempt(caller: Caller): void {
    const { kind, firstMs } = caller;
    const leftMs = firstMs + kind.deadlineMs - this.events.nowMs;
    const daemon = this.random.integer(this.settings.daemons);
    this.events.schedule(CALLER_DELAY_MS, () => {
      const sentMs = this.events.nowMs;
      this.send(kind, daemon, leftMs - 2 * CALLER_DELAY_MS, false, (reply, id) => {
        const reached = caller.reached || this.startedIds.has(id);
        const heldMs = caller.heldMs + this.events.nowMs - sentMs;
        const next = { ...caller, attempts: caller.attempts + 1, heldMs, reached };
        this.events.schedule(CALLER_DELAY_MS, () => this.noteReply(next, reply));
      });
    });
  }

  private noteReply(caller: Caller, reply: CallerReply): void {
    const { kind, firstMs, attempts } = caller;
    const { nowMs } = this.events;
    const leftMs = firstMs + kind.deadlineMs - nowMs;
    if (reply.type === 'refusal' && reply.status === 503 && attempts <= this.settings.retries) {
      const { retryAfterMs } = reply;
      if (retryAfterMs > 0 && retryAfterMs <= leftMs / 3) {
        this.events.schedule(retryAfterMs, () => this.attempt(caller));
        return;
      }
    }
    const served = reply.type === 'answer' && reply.response.status === 200 && leftMs >= 0;
    const inTime = served && nowMs - firstMs <= kind.targetMs;
    const held = !served && !caller.reached && caller.heldMs > kind.targetMs / 2;
    this.record(kind, {
      offered: 1,
      inTime: inTime ? 1 : 0,
      late: served && !inTime ? 1 : 0,
      refused: served ? 0 : 1,
      held: held ? 1 : 0,
      attempts,
      worth: served ? kind.worth * (inTime ? 1 : LATE_WORTH) : 0,
    });
    if (served) this.countServed(kind.service, nowMs);
    else this.refusedMs.push(nowMs);
  }

  private countServed(service: string, nowMs: number): void {
    const counts = this.servedPer100Ms.get(service) ?? [];
    const index = Math.floor(nowMs / 100);
    counts[index] = (counts[index] ?? 0) + 1;
    this.servedPer100Ms.set(service, counts);
  }

  private record(kind: OverloadKind, result: KindResult): void {
    this.results.set(kind.name, add(this.results.get(kind.name) ?? NONE, result));
  }

  /** Sends one attempt to a daemon. */
  private send(
    kind: OverloadKind,
    daemon: number,
    leftMs: number,
    isFromOwnVm: boolean,
    reply: (reply: CallerReply, id: string) => void,
  ): void {
    this.requests += 1;
    const id = String(this.requests);
    this.kindById.set(id, kind);
    const request = {
      ...createTestRequest(id).callerRequest,
      deadlineMs: leftMs,
      arrivedMs: this.events.nowMs,
      isFromOwnVm,
    };
    this.daemons[daemon]!.handle(request, createRoute(kind), kind.service, (each) => reply(each, id));
  }

  private work(
    request: BackendRequest,
    speed: number,
    daemon: number,
    done: (succeeded: boolean) => void,
  ): void {
    this.startedIds.add(request.callerRequest.id);
    const kind = this.kindById.get(request.callerRequest.id)!;
    const workMs = (kind.workMs / speed) * (0.6 - 0.4 * Math.log(1 - this.random.fraction()));
    if (kind.calls === 0) {
      this.events.schedule(workMs, () => done(true));
      return;
    }
    const callKind = this.settings.kinds.find(({ name }) => name === this.settings.callKind)!;
    const call = (left: number): void => {
      if (left === 0) {
        this.events.schedule(workMs / 2, () => done(true));
        return;
      }
      this.calls += 1;
      const leftMs = Math.min(callKind.deadlineMs, request.dueMs - this.events.nowMs);
      this.send(callKind, daemon, leftMs, true, (reply) => {
        const isServed = reply.type === 'answer' && reply.response.status === 200;
        if (!isServed) this.lostCalls += 1;
        if (isServed) call(left - 1);
        else done(false);
      });
    };
    this.events.schedule(workMs / 2, () => call(kind.calls));
  }
}

function createRoute(kind: OverloadKind): Route {
  return {
    name: kind.name,
    host: '',
    pathPrefix: '/',
    idempotent: false,
    targets: [],
    timeoutMs: 30_000,
    targetLatencyMs: kind.targetMs,
    maxAttempts: 1,
    priority: kind.priority,
    homeRegions: [],
    isPublic: true,
  };
}

function add(left: KindResult, right: KindResult): KindResult {
  return {
    offered: left.offered + right.offered,
    inTime: left.inTime + right.inTime,
    late: left.late + right.late,
    refused: left.refused + right.refused,
    held: left.held + right.held,
    attempts: left.attempts + right.attempts,
    worth: left.worth + right.worth,
  };
}
