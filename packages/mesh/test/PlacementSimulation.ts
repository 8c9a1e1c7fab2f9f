import { build } from 'hdr-histogram-js';
import { RandomSource } from '#core/RandomSource.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { ServerChooser } from '#mesh/ServerChooser.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';
import { createEntry } from './CreateEntry.js';
import type { PlacementOutcome } from './PlacementOutcome.js';
import type { PlacementSettings } from './PlacementSettings.js';

const DOMAINS = 6;
const DOMAINS_PER_REGION = 2;
const WAVE_MS = 17_000;
const SPEED_CHANGE_MS = 200;
const WARM_UP_MS = 3_000;
const DELAY_MS = { own: 0.1, domain: 0.9, region: 20 };

/** Service times of the kinds at a server of speed 1, in milliseconds; short kinds are the most frequent ones. */
const KINDS_MS = [38, 38, 38, 70, 70, 110, 200];

const TARGET_MS = 600;
const MAX_OFFERS = 4;
const AVERAGE_WEIGHT = 0.08;
const COLD_MS = 2_000;

interface Server {
  readonly entry: ServerEntry;
  readonly speed: number;
  factor: number;
  running: readonly number[];
  queue: Job[];
  serviceMs: number;
  workMs: number;
  received: number;
  receivedAfterJoin: number;
  sentAt: number[];
}

interface Daemon {
  readonly chooser: ServerChooser;
  readonly identity: DaemonIdentity;
  readonly domain: number;
  nextMs: number;
}

interface Request {
  readonly daemon: Daemon;
  readonly arrivedMs: number;
  readonly workMs: number;
  readonly tried: ReadonlySet<string>;
}

interface Job {
  readonly request: Request;
  readonly server: Server;
}

/** Simulates a service without keys: daemons with results of their own, uneven servers, demand in waves. */
export class PlacementSimulation {
  private readonly settings: PlacementSettings;
  private readonly random: RandomSource;
  private readonly servers: readonly Server[];
  private readonly daemons: readonly Daemon[];
  private readonly phases: readonly number[];
  private readonly events = new Map<number, (() => void)[]>();
  private readonly latencies = build({ numberOfSignificantValueDigits: 3 });
  private nowMs = 0;
  private requests = 0;
  private otherDomain = 0;
  private otherRegion = 0;
  private requestsAfterJoin = 0;
  private herd = 0;
  private cold = 0;
  private refused = 0;

  public constructor(
    settings: PlacementSettings,
    createChooser: (identity: DaemonIdentity, random: RandomSource) => ServerChooser,
  ) {
    this.settings = settings;
    this.random = new RandomSource(settings.seed);
    const [slowest, fastest] = settings.speeds;
    this.servers = Array.from({ length: settings.servers }, (_, index) => ({
      entry: createEntry(`s${index}`, { ...place(this.random.integer(DOMAINS)), slots: settings.slots }),
      speed: slowest + this.random.fraction() * (fastest - slowest),
      factor: 1,
      running: [],
      queue: [],
      serviceMs: 40,
      workMs: 0,
      received: 0,
      receivedAfterJoin: 0,
      sentAt: [],
    }));
    this.phases = Array.from({ length: DOMAINS }, () => this.random.fraction() * 2 * Math.PI);
    this.daemons = Array.from({ length: settings.daemons }, (_, index) => {
      const domain = index % DOMAINS;
      const identity = { serverId: `d${index}`, service: 'other', ...place(domain) };
      const chooser = createChooser(identity, new RandomSource(settings.seed * 1_000 + index));
      return { chooser, identity, domain, nextMs: 0 };
    });
  }

  public run(): PlacementOutcome {
    const { durationMs } = this.settings;
    for (; this.nowMs < durationMs; this.nowMs += 1) {
      if (this.nowMs % SPEED_CHANGE_MS === 0) this.changeSpeeds();
      for (const event of this.events.get(this.nowMs) ?? []) event();
      this.events.delete(this.nowMs);
      for (const daemon of this.daemons) {
        while (daemon.nextMs <= this.nowMs) {
          this.arrive(daemon);
          daemon.nextMs = Math.max(daemon.nextMs, this.nowMs) + this.gapMs(daemon);
        }
      }
    }
    return this.summarize();
  }

  private get isMeasured(): boolean {
    return this.nowMs >= WARM_UP_MS;
  }

  /** Time until the next request of a daemon: exponentially distributed, with a rate that rises and falls. */
  private gapMs({ domain }: Daemon): number {
    const { utilization, wave, daemons } = this.settings;
    const capacity = this.servers.reduce((sum, { speed, entry }) => sum + speed * entry.slots, 0);
    const meanMs = KINDS_MS.reduce((sum, each) => sum + each, 0) / KINDS_MS.length;
    const swing = 1 + wave * Math.sin((2 * Math.PI * this.nowMs) / WAVE_MS + (this.phases[domain] ?? 0));
    const perMs = ((utilization * capacity) / meanMs / daemons) * swing;
    return -Math.log(1 - this.random.fraction() * 0.999_999) / perMs;
  }

  private changeSpeeds(): void {
    const { jitter } = this.settings;
    for (const server of this.servers) server.factor = jitter ** (2 * this.random.fraction() - 1);
  }

  private arrive(daemon: Daemon): void {
    const workMs = this.random.pick(KINDS_MS) ?? 0;
    if (this.isMeasured) this.requests += 1;
    if (this.nowMs >= this.settings.joinMs + WARM_UP_MS) this.requestsAfterJoin += 1;
    this.send({ daemon, arrivedMs: this.nowMs, workMs, tried: new Set() });
  }

  private send(request: Request): void {
    const { daemon, tried } = request;
    const last = this.servers.length - 1;
    const usable = this.servers.filter(
      ({ entry }, index) =>
        !tried.has(entry.serverId) && (index < last || this.nowMs >= this.settings.joinMs),
    );
    if (tried.size >= MAX_OFFERS) {
      if (request.arrivedMs >= WARM_UP_MS) this.refused += 1;
      return;
    }
    const chosen = daemon.chooser.choose(
      usable.map(({ entry }) => entry),
      this.nowMs,
    );
    const server = usable.find(({ entry }) => entry === chosen);
    if (server === undefined) {
      if (request.arrivedMs >= WARM_UP_MS) this.refused += 1;
      return;
    }
    daemon.chooser.noteSent(server.entry.serverId);
    server.sentAt = [...server.sentAt.filter((at) => this.nowMs - at < 20), this.nowMs];
    if (this.isMeasured) this.herd = Math.max(this.herd, server.sentAt.length);
    this.later(delayMs(daemon, server), () => this.receive({ request, server }));
  }

  private receive(job: Job): void {
    const { server, request } = job;
    const index = this.servers.indexOf(server);
    if (index === this.servers.length - 1 && this.isColdAndFull(server)) {
      this.cold += 1;
      this.refuse(job, 'cold');
      return;
    }
    const waitMs = this.waitMs(server);
    if (waitMs + server.serviceMs > TARGET_MS * 0.8 - (this.nowMs - request.arrivedMs)) {
      this.refuse(job, 'full');
      return;
    }
    server.received += 1;
    if (this.nowMs >= this.settings.joinMs + WARM_UP_MS) server.receivedAfterJoin += 1;
    if (this.isMeasured) {
      const { region, failureDomain } = server.entry;
      if (region !== request.daemon.identity.region) this.otherRegion += 1;
      else if (failureDomain !== request.daemon.identity.failureDomain) this.otherDomain += 1;
    }
    server.queue.push(job);
    this.start(server);
  }

  /** Whether a server that joined recently received its rate of requests in the last second. */
  private isColdAndFull(server: Server): boolean {
    const { joinMs, slots } = this.settings;
    if (joinMs === 0 || this.nowMs >= joinMs + COLD_MS) return false;
    const perSecond = (slots * 1_000 * server.speed) / 80 / 2;
    return server.received >= (perSecond * (this.nowMs - joinMs)) / 1_000 + 8;
  }

  private refuse(job: Job, code: 'cold' | 'full'): void {
    const load = this.report(job.server);
    this.reply(job, { type: 'refused', code, retryAfterMs: 0, load, arrived: false });
  }

  private start(server: Server): void {
    while (server.running.length < server.entry.slots) {
      const job = server.queue.shift();
      if (job === undefined) return;
      const tookMs = (job.request.workMs * server.factor) / server.speed;
      const endMs = this.nowMs + tookMs;
      server.running = [...server.running, endMs];
      if (this.isMeasured) server.workMs += job.request.workMs;
      this.later(tookMs, () => this.finish(job, endMs, tookMs));
    }
  }

  private finish(job: Job, endMs: number, tookMs: number): void {
    const { server } = job;
    const index = server.running.indexOf(endMs);
    server.running = server.running.filter((_, each) => each !== index);
    server.serviceMs += AVERAGE_WEIGHT * (tookMs - server.serviceMs);
    this.start(server);
    const fails = server === this.servers[0] && this.random.fraction() < this.settings.failing;
    const response = { status: fails ? 500 : 200, headers: [], body: Buffer.alloc(0) };
    this.reply(job, { type: 'answered', response, load: this.report(server) });
  }

  private reply({ request, server }: Job, result: BackendResult): void {
    const { daemon } = request;
    this.later(delayMs(daemon, server), () => {
      daemon.chooser.noteResult(server.entry.serverId, result, this.nowMs);
      if (result.type === 'refused')
        this.send({ ...request, tried: new Set([...request.tried, server.entry.serverId]) });
      else if (request.arrivedMs >= WARM_UP_MS)
        this.latencies.recordValue(Math.max(1, this.nowMs - request.arrivedMs));
    });
  }

  private waitMs({ running, queue, serviceMs, entry }: Server): number {
    if (running.length < entry.slots) return 0;
    const leftMs = running.reduce((sum, endMs) => sum + Math.max(serviceMs / 4, endMs - this.nowMs), 0);
    return (leftMs + queue.length * serviceMs) / entry.slots;
  }

  private report(server: Server): LoadReport {
    return {
      running: server.running.length,
      queued: server.queue.length,
      slots: server.entry.slots,
      waitMs: this.waitMs(server),
      serviceMs: server.serviceMs,
      slowdown: server.factor / server.speed,
    };
  }

  private later(ms: number, event: () => void): void {
    const atMs = Math.max(this.nowMs + 1, Math.round(this.nowMs + ms));
    const events = this.events.get(atMs);
    if (events === undefined) this.events.set(atMs, [event]);
    else events.push(event);
  }

  private summarize(): PlacementOutcome {
    const { latencies, requests, servers } = this;
    const loads = servers.map(({ workMs, speed }) => workMs / speed);
    const meanLoad = loads.reduce((sum, each) => sum + each, 0) / servers.length;
    const served = latencies.totalCount;
    const received = servers.reduce((sum, each) => sum + each.received, 0);
    const last = servers.at(-1);
    return {
      requests,
      served: 1 - this.refused / requests,
      meanMs: Math.round(latencies.mean),
      p95Ms: latencies.getValueAtPercentile(95),
      p99Ms: latencies.getValueAtPercentile(99),
      busiest: Math.max(...loads) / meanLoad,
      otherDomain: this.otherDomain / served,
      otherRegion: this.otherRegion / served,
      firstShare: ((servers[0]?.received ?? 0) / received) * servers.length,
      joinedShare: ((last?.receivedAfterJoin ?? 0) / this.requestsAfterJoin) * servers.length,
      cold: this.cold / requests,
      herd: this.herd,
    };
  }
}

function place(domain: number): { readonly failureDomain: string; readonly region: string } {
  return { failureDomain: `f${domain}`, region: `r${Math.floor(domain / DOMAINS_PER_REGION)}` };
}

function delayMs({ identity }: Daemon, { entry }: Server): number {
  if (identity.region !== entry.region) return DELAY_MS.region;
  return identity.failureDomain === entry.failureDomain ? DELAY_MS.own : DELAY_MS.domain;
}
