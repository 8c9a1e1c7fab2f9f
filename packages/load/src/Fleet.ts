import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { Cell } from '#assignment/Cell.js';
import type { Intent } from '#control/Intent.js';
import type { RunRecord } from '#standin/RunRecord.js';
import type { Instance } from '#settings/Instance.js';
import type { FleetOptions } from '#load/FleetOptions.js';
import { FleetProcess } from '#load/FleetProcess.js';
import { readRunRecords } from '#load/ReadRunRecords.js';

const FLEET_KEY = 'key-of-a-fleet-on-loopback-for-tests-only';
const REPORT_LAG_MS = 2000;
const POLL_MS = 50;

interface FleetMember {
  readonly instance: Instance;
  readonly daemon: FleetProcess;
  readonly backend: FleetProcess;
}

/** A stand-in store, daemons and stand-in backend servers as processes on loopback. */
export class Fleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'amaranthrouter-'));
  private readonly members = new Map<string, FleetMember>();
  /** Wall-clock times at which backend servers had been killed, by server, in milliseconds. */
  private readonly backendEnds = new Map<string, readonly number[]>();
  private store: FleetProcess | undefined;
  private seeds: readonly string[] = [];
  /** Every process that was started, also those of a start that failed. */
  private readonly starts = new Set<Promise<FleetProcess>>();
  private readonly ending = new AbortController();

  public constructor(private readonly options: FleetOptions) {}

  /** Starts the store with the catalogue, then all instances. */
  public async start(): Promise<void> {
    this.store = await this.run(['standin-store'], 'store');
    await this.put('catalogue', { author: 'setup', catalogue: this.options.catalogue });
    const [first, ...rest] = this.options.instances;
    if (first !== undefined) await this.startInstance(first);
    await Promise.all(rest.map((instance) => this.startInstance(instance)));
  }

  /** Starts the daemon and the backend server of an instance, also as the replacement of one that was killed. */
  public async startInstance(instance: Instance): Promise<void> {
    const daemon = await this.startDaemon(instance);
    const backend = await this.startBackend(instance, daemon);
    this.members.set(instance.serverId, { instance, daemon, backend });
  }

  /** Starts a new backend server beside a daemon whose former one has ended. */
  public async restartBackend(serverId: string): Promise<void> {
    const member = this.find(serverId);
    const backend = await this.startBackend(member.instance, member.daemon);
    this.members.set(serverId, { ...member, backend });
  }

  /** Resolves when the backend server of an instance has ended. */
  public async waitBackendEnd(serverId: string): Promise<void> {
    await this.find(serverId).backend.waitEnd();
  }

  /** Resolves when every shard of every cell has an owner and all instances are members, or fails after `timeoutMs`. */
  public async waitServing(timeoutMs: number): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    const services = [...new Set(this.options.instances.map(({ service }) => service))];
    for (;;) {
      const cells = await Promise.all(services.map((service) => this.readCell(service)));
      if (cells.every((cell) => this.isServing(cell))) return;
      if (Date.now() > endMs)
        throw new Error(`the fleet does not serve: ${JSON.stringify(cells.map(describeCell))}`);
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  /** Lists the instances of a service by the number of shards they own, the largest owner first. */
  public async listByShards(service: string): Promise<readonly Instance[]> {
    const owners = Object.values((await this.readCell(service))?.shards ?? {}).map(({ owner }) => owner);
    const count = ({ serverId }: Instance): number => owners.filter((owner) => owner === serverId).length;
    const members = this.options.instances.filter((instance) => instance.service === service);
    return [...members].sort((left, right) => count(right) - count(left));
  }

  /** Base URL for callers of a daemon. */
  public callerUrl(serverId: string): string {
    return `http://127.0.0.1:${this.find(serverId).daemon.values.get('caller') ?? 0}`;
  }

  /** Process of a daemon, for its processor time and memory. */
  public daemonProcess(serverId: string): FleetProcess {
    return this.find(serverId).daemon;
  }

  /** Base URL of the administration API of a daemon. */
  public adminUrl(serverId: string): string {
    return `http://127.0.0.1:${this.find(serverId).daemon.values.get('admin') ?? 0}`;
  }

  /** Sends a signal to the daemon or the backend server of an instance, or to both. */
  public signal(serverId: string, name: NodeJS.Signals, what: 'daemon' | 'backend' | 'vm'): void {
    const { daemon, backend } = this.find(serverId);
    if (what !== 'backend') daemon.signal(name);
    if (what !== 'daemon') backend.signal(name);
  }

  /** Kills processes of an instance and resolves when they have ended. */
  public async kill(serverId: string, what: 'daemon' | 'backend' | 'vm'): Promise<void> {
    const { daemon, backend } = this.find(serverId);
    this.signal(serverId, 'SIGKILL', what);
    if (what !== 'backend') await daemon.waitEnd();
    if (what === 'daemon') return;
    await backend.waitEnd();
    this.backendEnds.set(serverId, [...(this.backendEnds.get(serverId) ?? []), Date.now()]);
  }

  /** Starts the processes of an instance that have ended. A backend server is replaced along with its daemon. */
  public async replaceLost(serverId: string): Promise<void> {
    const member = this.find(serverId);
    if (member.daemon.hasEnded) {
      if (!member.backend.hasEnded) await this.kill(serverId, 'backend');
      await this.startInstance(member.instance);
    } else if (member.backend.hasEnded) {
      const backend = await this.startBackend(member.instance, member.daemon);
      this.members.set(serverId, { ...member, backend });
    }
  }

  /**
   * Shuts the living daemons down gracefully and resolves with their counts of requests in flight that are not zero,
   * one line each; a daemon that does not end its shutdown in time has such a line, too. Needs the logs of the daemons.
   */
  public async shutDownDaemons(timeoutMs: number): Promise<readonly string[]> {
    const living = [...this.members.values()].filter(({ daemon }) => !daemon.hasEnded);
    for (const { daemon } of living) daemon.signal('SIGTERM');
    const endMs = Date.now() + timeoutMs;
    const found = await Promise.all(living.map(({ instance }) => this.readCounts(instance.serverId, endMs)));
    return found.flat();
  }

  /** Resolves with the exit code of a daemon when it has ended. */
  public waitDaemonEnd(serverId: string): Promise<number> {
    return this.find(serverId).daemon.waitEnd();
  }

  /** Calls a control path of a stand-in backend server, for example `/-/slow` with a factor. */
  public async controlBackend(serverId: string, path: string, body: string): Promise<void> {
    const port = this.find(serverId).backend.values.get('port') ?? 0;
    const answer = await request(`http://127.0.0.1:${port}${path}`, { method: 'PUT', body });
    await answer.body.dump();
  }

  /** Switches faults of the store. */
  public async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    const answer = await request(`${this.storeUrl()}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    await answer.body.dump();
  }

  /** Replaces the operator intent in the store. */
  public async setIntent(intent: Intent): Promise<void> {
    const current = await request(`${this.storeUrl()}/objects/intent`);
    await current.body.dump();
    const tag = current.headers.etag;
    await this.put('intent', { author: 'setup', intent }, typeof tag === 'string' ? tag : undefined);
  }

  /** Reads the call counts of the store. */
  public async readStoreStats(): Promise<Readonly<Record<string, number>>> {
    const answer = await request(`${this.storeUrl()}/stats`);
    return (await answer.body.json()) as Readonly<Record<string, number>>;
  }

  /** Reads the cell of a service from the store. */
  public async readCell(service: string): Promise<Cell | undefined> {
    const answer = await request(`${this.storeUrl()}/objects/${encodeURIComponent(`cells/${service}/0`)}`);
    if (answer.statusCode !== 200) {
      await answer.body.dump();
      return undefined;
    }
    const body = (await answer.body.json()) as { readonly value: Cell };
    return { ...body.value, version: Number(String(answer.headers.etag ?? '0').replace(/"/g, '')) };
  }

  /** Reads the requests that all backend servers ran; a run that `kill` cut off ends with its process. */
  public readRecords(): readonly RunRecord[] {
    const files = readdirSync(this.folder).filter((name) => name.endsWith('.records'));
    const records = files.flatMap((name) => readRunRecords(join(this.folder, name)));
    return records.map((record) => (record.endMs === 0 ? this.endWithProcess(record) : record));
  }

  /** Reads how often a living backend server had more requests at once than it could bear. */
  public async countOverloads(): Promise<number> {
    const living = [...this.members.values()].filter(({ backend }) => !backend.hasEnded);
    const counts = await Promise.all(living.map((member) => this.readOverloads(member)));
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Instances that the fleet runs. */
  public listInstances(): readonly Instance[] {
    return [...this.members.values()].map(({ instance }) => instance);
  }

  /** Ends all processes, also those that are still starting, and removes their files. */
  public async stop(): Promise<void> {
    this.ending.abort();
    const starts = await Promise.allSettled(this.starts);
    const processes = starts.flatMap((start) => (start.status === 'fulfilled' ? [start.value] : []));
    await Promise.all(processes.map((each) => each.waitEnd()));
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stderr.write(`logs are kept in ${this.folder}\n`);
  }

  private async readCounts(serverId: string, endMs: number): Promise<readonly string[]> {
    for (;;) {
      const text = readFileSync(join(this.folder, `${serverId}.log`), 'utf8');
      const lines = text.split('\n').filter((line) => line.includes('event=counts'));
      if (text.includes('event=shutdownEnded'))
        return lines.filter((line) => !line.includes('inFlight=0')).map((line) => `${serverId}: ${line}`);
      if (Date.now() > endMs) return [`${serverId}: no end of the shutdown`];
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }

  private endWithProcess(record: RunRecord): RunRecord {
    const ends = this.backendEnds.get(record.serverId) ?? [];
    return { ...record, endMs: ends.find((endMs) => endMs >= record.startMs) ?? 0 };
  }

  private async startDaemon(instance: Instance): Promise<FleetProcess> {
    const { serverId, vm, region, failureDomain } = instance;
    const settings = {
      serverId,
      vm,
      region,
      failureDomain,
      host: '127.0.0.1',
      ports: { caller: 0, peer: 0, udp: 0, admin: 0, backend: 0 },
      storeUrl: this.storeUrl(),
      seeds: this.seeds,
      fleetKey: FLEET_KEY,
      logs: this.options.logs,
      timings: this.options.timings ?? {},
    };
    const file = join(this.folder, `${serverId}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const daemon = await this.run(['daemon', file], serverId);
    if (this.seeds.length < 4) this.seeds = [...this.seeds, `127.0.0.1:${daemon.values.get('peer') ?? 0}`];
    return daemon;
  }

  private startBackend(instance: Instance, daemon: FleetProcess): Promise<FleetProcess> {
    const { serverId, service, slots, connections, checksToken } = instance;
    const announceUrl = `http://127.0.0.1:${daemon.values.get('backend') ?? 0}/announce`;
    const { backendCommand } = this.options;
    if (backendCommand !== undefined) {
      return this.startProcess(backendCommand(announceUrl, service), `${serverId}-backend`);
    }
    const options = {
      service,
      slots,
      connections,
      checksToken,
      serviceMs: this.options.serviceMs,
      coldStartMs: this.options.coldStartMs,
      announceUrl,
      reportLagMs: REPORT_LAG_MS,
      seed: this.options.seed,
      recordFile: join(this.folder, `${serverId}.records`),
    };
    return this.run(['standin-backend', JSON.stringify(options)], `${serverId}-backend`);
  }

  private run(args: readonly string[], name: string): Promise<FleetProcess> {
    return this.startProcess([...this.options.command, ...args], name);
  }

  private startProcess(command: readonly string[], name: string): Promise<FleetProcess> {
    this.ending.signal.throwIfAborted();
    const start = FleetProcess.start(command, join(this.folder, `${name}.log`), this.ending.signal);
    this.starts.add(start);
    return start;
  }

  private async readOverloads({ backend }: FleetMember): Promise<number> {
    const answer = await request(`http://127.0.0.1:${backend.values.get('port') ?? 0}/-/report`);
    return ((await answer.body.json()) as { readonly overloads: number }).overloads;
  }

  private async put(name: string, value: unknown, tag?: string): Promise<void> {
    const answer = await request(`${this.storeUrl()}/objects/${encodeURIComponent(name)}`, {
      method: 'PUT',
      headers: tag === undefined ? { 'if-none-match': '*' } : { 'if-match': tag },
      body: JSON.stringify({ marks: ['fleet/1'], value }),
    });
    await answer.body.dump();
    if (answer.statusCode >= 300) throw new Error(`the store refused ${name}: ${answer.statusCode}`);
  }

  private isServing(cell: Cell | undefined): boolean {
    if (cell === undefined) return false;
    const expected = this.options.instances.filter(({ service }) => service === cell.service).length;
    const active = cell.members.filter(({ state }) => state === 'active').length;
    return active >= expected && Object.values(cell.shards).every(({ owner }) => owner !== '');
  }

  private storeUrl(): string {
    return `http://127.0.0.1:${this.store?.values.get('port') ?? 0}`;
  }

  private find(serverId: string): FleetMember {
    const member = this.members.get(serverId);
    if (member === undefined) throw new Error(`no instance ${serverId}`);
    return member;
  }
}

function describeCell(cell: Cell | undefined): unknown {
  if (cell === undefined) return 'absent';
  const unowned = Object.values(cell.shards).filter(({ owner }) => owner === '').length;
  return {
    service: cell.service,
    members: cell.members.map(({ serverId, state }) => `${serverId}:${state}`),
    unowned,
  };
}
