import { mkdtempSync, readFileSync, readdirSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { Cell } from '#assignment/Cell.js';
import type { Intent } from '#control/Intent.js';
import { listPlacements } from '#control/ListPlacements.js';
import type { RunRecord } from '#standin/RunRecord.js';
import type { Instance } from '#settings/Instance.js';
import type { FleetOptions } from '#load/FleetOptions.js';
import { FleetProcess } from '#load/FleetProcess.js';
import { isCellServing } from '#load/IsCellServing.js';
import { readRunRecords } from '#load/ReadRunRecords.js';

const FLEET_KEY = 'key-of-a-fleet-on-loopback-for-tests-only';
const REPORT_LAG_MS = 2000;
const POLL_INTERVAL_MS = 50;

interface FleetMember {
  readonly instance: Instance;
  readonly daemon: FleetProcess;
  readonly backend: FleetProcess;
}

/** Processes of an instance that a signal goes to; `vm` is both. */
type Component = 'daemon' | 'backend' | 'vm';

/** A stand-in store, daemons and stand-in backend servers as processes on loopback. */
export class Fleet {
  private readonly folder = mkdtempSync(join(tmpdir(), 'amaranthrouter-'));
  private readonly members = new Map<string, FleetMember>();
  /** Wall-clock times at which killed backend servers had ended, by server, in milliseconds. */
  private readonly backendKillTimes = new Map<string, readonly number[]>();
  private store: FleetProcess | undefined;
  private seeds: readonly string[] = [];
  /** Every process that was started, including those whose start failed. */
  private readonly startedProcesses = new Set<Promise<FleetProcess>>();
  private readonly stopController = new AbortController();

  public constructor(private readonly options: FleetOptions) {}

  /**
   * Starts the store with the catalogue, then all daemons, then their backend servers: a daemon joins its cell with its
   * backend server, and the shards are divided among those that join at about the same time.
   */
  public async start(): Promise<void> {
    this.store = await this.startCommand(['standin-store'], 'store');
    await this.putObject('catalogue', { author: 'setup', catalogue: this.options.catalogue });
    const [first, ...rest] = this.options.instances;
    if (first === undefined) return;
    const startPair = async (instance: Instance): Promise<readonly [Instance, FleetProcess]> => [
      instance,
      await this.startDaemon(instance),
    ];
    // The first daemon is the seed of the others.
    const seed = await startPair(first);
    const others = await Promise.all(rest.map(startPair));
    await Promise.all([seed, ...others].map(([instance, daemon]) => this.addMember(instance, daemon)));
  }

  /** Starts the daemon and the backend server of an instance, or replaces those that were killed. */
  public async startInstance(instance: Instance): Promise<void> {
    await this.addMember(instance, await this.startDaemon(instance));
  }

  /** Starts a new backend server for a daemon whose previous one has ended. */
  public async restartBackend(serverId: string): Promise<void> {
    const member = this.findMember(serverId);
    const backend = await this.startBackend(member.instance, member.daemon);
    this.members.set(serverId, { ...member, backend });
  }

  /** Resolves when the backend server of an instance has ended. */
  public async waitBackendEnd(serverId: string): Promise<void> {
    await this.findMember(serverId).backend.waitEnd();
  }

  /** Resolves when every cell has all its shards, each with an owner, and its members; rejects after `timeoutMs`. */
  public async waitServing(timeoutMs: number): Promise<void> {
    const endMs = Date.now() + timeoutMs;
    const services = [...new Set(this.options.instances.map(({ service }) => service))];
    for (;;) {
      const cells = await Promise.all(services.map((service) => this.readCell(service)));
      if (cells.every((cell) => this.isServing(cell))) return;
      if (Date.now() > endMs)
        throw new Error(`the fleet does not serve: ${JSON.stringify(cells.map(describeCell))}`);
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  /** Lists the instances of a service by the number of shards they own, the largest owner first. */
  public async listByShards(service: string): Promise<readonly Instance[]> {
    const owners = Object.values((await this.readCell(service))?.shards ?? {}).map(({ owner }) => owner);
    const count = ({ serverId }: Instance): number => owners.filter((owner) => owner === serverId).length;
    const members = this.options.instances.filter((instance) => instance.service === service);
    return [...members].sort((left, right) => count(right) - count(left));
  }

  /** Returns the base URL at which a daemon serves callers. */
  public callerUrl(serverId: string): string {
    return `http://127.0.0.1:${this.findMember(serverId).daemon.values.get('caller') ?? 0}`;
  }

  /** Returns the process of a daemon, for example to read its processor time. */
  public daemonProcess(serverId: string): FleetProcess {
    return this.findMember(serverId).daemon;
  }

  /** Returns the base URL of the administration API of a daemon. */
  public adminUrl(serverId: string): string {
    return `http://127.0.0.1:${this.findMember(serverId).daemon.values.get('admin') ?? 0}`;
  }

  /**
   * Sends a signal to the daemon or the backend server of an instance, or to both. For SIGKILL there is `kill`, which
   * notes when the runs that it interrupts end.
   */
  public signal(serverId: string, name: Exclude<NodeJS.Signals, 'SIGKILL'>, component: Component): void {
    this.sendSignal(serverId, name, component);
  }

  /** Kills processes of an instance and resolves when they have ended. */
  public async kill(serverId: string, component: Component): Promise<void> {
    const { daemon, backend } = this.findMember(serverId);
    this.sendSignal(serverId, 'SIGKILL', component);
    if (component !== 'backend') await daemon.waitEnd();
    if (component === 'daemon') return;
    await backend.waitEnd();
    this.backendKillTimes.set(serverId, [...(this.backendKillTimes.get(serverId) ?? []), Date.now()]);
  }

  /** Restarts the processes of an instance that have ended; if the daemon has, its backend server is replaced, too. */
  public async replaceLost(serverId: string): Promise<void> {
    const member = this.findMember(serverId);
    if (member.daemon.hasEnded) {
      if (!member.backend.hasEnded) await this.kill(serverId, 'backend');
      await this.startInstance(member.instance);
    } else if (member.backend.hasEnded) {
      const backend = await this.startBackend(member.instance, member.daemon);
      this.members.set(serverId, { ...member, backend });
    }
  }

  /**
   * Shuts down the running daemons gracefully. Resolves with a line for each count of requests in flight that is not
   * zero, and for each daemon whose shutdown does not end in time. The daemons must write logs, which it reads.
   */
  public async shutDownDaemons(timeoutMs: number): Promise<readonly string[]> {
    const running = [...this.members.values()].filter(({ daemon }) => !daemon.hasEnded);
    for (const { daemon } of running) daemon.signal('SIGTERM');
    const endMs = Date.now() + timeoutMs;
    const found = await Promise.all(
      running.map(({ instance }) => this.readShutdownCounts(instance.serverId, endMs)),
    );
    return found.flat();
  }

  /** Resolves with the exit code of a daemon when it has ended. */
  public waitDaemonEnd(serverId: string): Promise<number> {
    return this.findMember(serverId).daemon.waitEnd();
  }

  /** Calls a control path of a stand-in backend server, for example `/-/slow` with a factor. */
  public async controlBackend(serverId: string, path: string, body: string): Promise<void> {
    const port = this.findMember(serverId).backend.values.get('port') ?? 0;
    const response = await request(`http://127.0.0.1:${port}${path}`, { method: 'PUT', body });
    await response.body.dump();
  }

  /** Sets the faults of the stand-in store. */
  public async setStoreFaults(faults: Readonly<Record<string, unknown>>): Promise<void> {
    const response = await request(`${this.storeUrl()}/faults`, {
      method: 'POST',
      body: JSON.stringify(faults),
    });
    await response.body.dump();
  }

  /** Replaces the operator intent in the store. */
  public async setIntent(intent: Intent): Promise<void> {
    const current = await request(`${this.storeUrl()}/objects/intent`);
    await current.body.dump();
    const etag = current.headers.etag;
    await this.putObject('intent', { author: 'setup', intent }, typeof etag === 'string' ? etag : undefined);
  }

  /** Reads the call counts of the store. */
  public async readStoreStats(): Promise<Readonly<Record<string, number>>> {
    const response = await request(`${this.storeUrl()}/stats`);
    return (await response.body.json()) as Readonly<Record<string, number>>;
  }

  /** Reads the cell of a service from the store. */
  public async readCell(service: string): Promise<Cell | undefined> {
    const response = await request(`${this.storeUrl()}/objects/${encodeURIComponent(`cells/${service}/0`)}`);
    if (response.statusCode !== 200) {
      await response.body.dump();
      return undefined;
    }
    const body = (await response.body.json()) as { readonly value: Cell };
    return { ...body.value, version: Number(String(response.headers.etag ?? '0').replace(/"/g, '')) };
  }

  /** Reads the records of the requests that ran; a run that `kill` interrupted ends with its process. */
  public readRecords(): readonly RunRecord[] {
    const files = readdirSync(this.folder).filter((name) => name.endsWith('.records'));
    const records = files.flatMap((name) => readRunRecords(join(this.folder, name)));
    return records.map((record) => (record.endMs === 0 ? this.endAtProcessKill(record) : record));
  }

  /** Returns how often the running backend servers had more concurrent requests than they could handle. */
  public async countOverloads(): Promise<number> {
    const running = [...this.members.values()].filter(({ backend }) => !backend.hasEnded);
    const counts = await Promise.all(running.map((member) => this.readOverloads(member)));
    return counts.reduce((sum, count) => sum + count, 0);
  }

  /** Lists the instances that the fleet runs. */
  public listInstances(): readonly Instance[] {
    return [...this.members.values()].map(({ instance }) => instance);
  }

  /** Ends all processes, including those that are still starting, and removes their files. */
  public async stop(): Promise<void> {
    this.stopController.abort();
    const starts = await Promise.allSettled(this.startedProcesses);
    const processes = starts.flatMap((start) => (start.status === 'fulfilled' ? [start.value] : []));
    await Promise.all(processes.map((each) => each.waitEnd()));
    if (process.env.KEEP_LOGS === undefined) rmSync(this.folder, { recursive: true, force: true });
    else process.stderr.write(`logs are kept in ${this.folder}\n`);
  }

  /** Starts the backend server of an instance whose daemon runs. */
  private async addMember(instance: Instance, daemon: FleetProcess): Promise<void> {
    const backend = await this.startBackend(instance, daemon);
    this.members.set(instance.serverId, { instance, daemon, backend });
  }

  private sendSignal(serverId: string, name: NodeJS.Signals, component: Component): void {
    const { daemon, backend } = this.findMember(serverId);
    if (component !== 'backend') daemon.signal(name);
    if (component !== 'daemon') backend.signal(name);
  }

  private async readShutdownCounts(serverId: string, endMs: number): Promise<readonly string[]> {
    for (;;) {
      const text = readFileSync(join(this.folder, `${serverId}.log`), 'utf8');
      const lines = text.split('\n').filter((line) => line.includes('event=counts'));
      if (text.includes('event=shutdownEnded'))
        return lines.filter((line) => !line.includes('inFlight=0')).map((line) => `${serverId}: ${line}`);
      if (Date.now() > endMs) return [`${serverId}: the shutdown did not end in time`];
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  private endAtProcessKill(record: RunRecord): RunRecord {
    const ends = this.backendKillTimes.get(record.serverId) ?? [];
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
    const daemon = await this.startCommand(['daemon', file], serverId);
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
    return this.startCommand(['standin-backend', JSON.stringify(options)], `${serverId}-backend`);
  }

  private startCommand(args: readonly string[], name: string): Promise<FleetProcess> {
    return this.startProcess([...this.options.command, ...args], name);
  }

  private startProcess(command: readonly string[], name: string): Promise<FleetProcess> {
    this.stopController.signal.throwIfAborted();
    const start = FleetProcess.start(command, join(this.folder, `${name}.log`), this.stopController.signal);
    this.startedProcesses.add(start);
    return start;
  }

  private async readOverloads({ backend }: FleetMember): Promise<number> {
    const response = await request(`http://127.0.0.1:${backend.values.get('port') ?? 0}/-/report`);
    return ((await response.body.json()) as { readonly overloads: number }).overloads;
  }

  private async putObject(name: string, value: unknown, etag?: string): Promise<void> {
    const response = await request(`${this.storeUrl()}/objects/${encodeURIComponent(name)}`, {
      method: 'PUT',
      headers: etag === undefined ? { 'if-none-match': '*' } : { 'if-match': etag },
      body: JSON.stringify({ marks: ['fleet/1'], value }),
    });
    await response.body.dump();
    if (response.statusCode >= 300) throw new Error(`the store refused ${name}: ${response.statusCode}`);
  }

  private isServing(cell: Cell | undefined): boolean {
    if (cell === undefined) return false;
    const expected = this.options.instances.filter(({ service }) => service === cell.service).length;
    return isCellServing(cell, listPlacements(this.options.catalogue, cell.service), expected);
  }

  private storeUrl(): string {
    return `http://127.0.0.1:${this.store?.values.get('port') ?? 0}`;
  }

  private findMember(serverId: string): FleetMember {
    const member = this.members.get(serverId);
    if (member === undefined) throw new Error(`the fleet has no instance ${serverId}`);
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
