import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import { RandomSource } from '#core/RandomSource.js';
import type { Tenant } from '#routes/Tenant.js';
import type { QuotaMember } from '#tenants/QuotaMember.js';
import { QuotaTask } from '#tenants/QuotaTask.js';

/** One-way delay between two daemons, in milliseconds: regions are 20 ms apart. */
const MIN_DELAY_MS = 1;
const MAX_DELAY_MS = 22;

interface Daemon {
  readonly task: QuotaTask;
  readonly processId: string;
  /** Difference between the clock of the daemon and that of the simulation. */
  readonly clock: OffsetClock;
}

/** What became of a request. */
interface End {
  readonly tenant: string;
  readonly atMs: number;
  readonly waitedMs: number;
  readonly admitted: boolean;
  readonly retryAfterMs: number;
}

/** Clock of one daemon: its origin is its own. */
class OffsetClock extends ManualClock {
  /** Timers that have not run. */
  public readonly pending = new Set<() => void>();

  public constructor(
    private readonly base: ManualClock,
    private readonly offsetMs: number,
  ) {
    super();
  }

  public override monotonicMs(): number {
    return this.base.monotonicMs() + this.offsetMs;
  }

  public override schedule(delayMs: number, callback: () => void): () => void {
    const cancel = this.base.schedule(delayMs, () => {
      this.pending.delete(cancel);
      callback();
    });
    this.pending.add(cancel);
    return () => {
      this.pending.delete(cancel);
      cancel();
    };
  }
}

/** The quota tasks of many daemons with a manual clock and links that delay, fail or carry nothing. */
export class SimulatedQuotas {
  public readonly clock = new ManualClock();
  public readonly ends: End[] = [];
  /** Number of calls that each daemon has sent to others. */
  public readonly calls = new Map<string, number>();
  private readonly random: RandomSource;
  private readonly daemons = new Map<string, Daemon>();
  private readonly cutLinks = new Set<string>();
  private readonly killed = new Set<string>();
  private readonly silent: boolean;
  private tenants: ReadonlyMap<string, Tenant>;
  private processes = 0;

  public constructor(
    public readonly serverIds: readonly string[],
    tenants: readonly Tenant[],
    { seed = 1, silent = false }: { readonly seed?: number; readonly silent?: boolean } = {},
  ) {
    this.random = new RandomSource(seed);
    this.silent = silent;
    this.tenants = new Map(tenants.map((each) => [each.name, each]));
    for (const serverId of serverIds) this.start(serverId, serverIds);
  }

  /** Starts the daemon of a server again, or a new one, with a view of the given servers. */
  public start(serverId: string, view: readonly string[]): void {
    this.processes += 1;
    this.killed.delete(serverId);
    const clock = new OffsetClock(this.clock, this.random.integer(1_000_000));
    const processId = `p${this.processes}`;
    const task = new QuotaTask({
      serverId,
      processId,
      clock,
      logger: new Logger('test'),
      call: (address, params, reply) => this.call(serverId, address, params, reply),
    });
    const former = this.daemons.get(serverId)?.processId;
    this.daemons.set(serverId, { task, processId, clock });
    task.post({ type: 'tenants', tenants: this.tenants });
    // A restarted daemon first reads the entry of its former run.
    if (former !== undefined) this.showEntries(serverId, view, former);
    this.show(serverId, view);
  }

  /** Ends a daemon without notice. */
  public kill(serverId: string): void {
    this.killed.add(serverId);
    this.daemons.get(serverId)?.task.stop();
  }

  /** Cuts or restores the links between a daemon and all others. */
  public setCut(serverId: string, isCut: boolean): void {
    if (isCut) this.cutLinks.add(serverId);
    else this.cutLinks.delete(serverId);
  }

  /** Replaces the view of one daemon. */
  public show(serverId: string, view: readonly string[]): void {
    this.showEntries(serverId, view, undefined);
  }

  public setTenant(tenant: Tenant): void {
    this.tenants = new Map([...this.tenants, [tenant.name, tenant]]);
    for (const { task } of this.daemons.values()) task.post({ type: 'tenants', tenants: this.tenants });
  }

  /** Delivers one request of a tenant to a daemon. */
  public arrive(serverId: string, name: string): void {
    const tenant = this.tenants.get(name);
    if (tenant === undefined || this.killed.has(serverId)) return;
    const startMs = this.clock.monotonicMs();
    this.daemons.get(serverId)?.task.post({
      type: 'admit',
      tenant,
      decide: (decision) => {
        const atMs = this.clock.monotonicMs();
        const retryAfterMs = decision.admitted ? 0 : decision.retryAfterMs;
        const { admitted } = decision;
        this.ends.push({ tenant: name, atMs, waitedMs: atMs - startMs, admitted, retryAfterMs });
      },
    });
  }

  /** Runs for a time in steps of 5 ms; `onStep` delivers the requests of each step. */
  public async run(durationMs: number, onStep: (nowMs: number) => void): Promise<void> {
    const endMs = this.clock.monotonicMs() + durationMs;
    while (this.clock.monotonicMs() < endMs) {
      onStep(this.clock.monotonicMs());
      for (let index = 0; index < 5; index += 1) {
        await settle();
        this.clock.advance(1);
      }
      await settle();
    }
  }

  public integer(limit: number): number {
    return this.random.integer(limit);
  }

  public pick<T>(items: readonly T[]): T {
    return items[this.random.integer(items.length)]!;
  }

  /** Returns the highest number of admitted requests of a tenant in any window. */
  public countPeak(tenant: string, windowMs: number, fromMs = 0): number {
    const times = this.ends
      .filter((end) => end.admitted && end.tenant === tenant && end.atMs >= fromMs)
      .map(({ atMs }) => atMs);
    let peak = 0;
    let first = 0;
    for (const [index, atMs] of times.entries()) {
      while (atMs - times[first]! >= windowMs) first += 1;
      peak = Math.max(peak, index - first + 1);
    }
    return peak;
  }

  public countRefused(fromMs = 0, toMs = Infinity): number {
    return this.ends.filter(({ admitted, atMs }) => !admitted && atMs >= fromMs && atMs < toMs).length;
  }

  public countAdmitted(fromMs = 0, toMs = Infinity): number {
    return this.ends.filter(({ admitted, atMs }) => admitted && atMs >= fromMs && atMs < toMs).length;
  }

  /** Number of timers of all daemons. */
  public get timers(): number {
    return [...this.daemons.values()].reduce((sum, { clock }) => sum + clock.pending.size, 0);
  }

  public stop(): void {
    for (const { task } of this.daemons.values()) task.stop();
  }

  private showEntries(serverId: string, view: readonly string[], ownProcess: string | undefined): void {
    const members = view.map((each): QuotaMember => {
      const known = this.daemons.get(each)?.processId ?? '';
      return { serverId: each, address: each, processId: each === serverId ? (ownProcess ?? known) : known };
    });
    this.daemons.get(serverId)?.task.post({ type: 'members', members });
  }

  private call(from: string, to: string, params: unknown, reply: (result: unknown) => void): void {
    this.calls.set(from, (this.calls.get(from) ?? 0) + 1);
    this.transmit(from, to, reply, () => {
      const { task } = this.daemons.get(to)!;
      task.post({
        type: 'asked',
        value: JSON.parse(JSON.stringify(params)) as unknown,
        reply: (result) => this.transmit(to, from, reply, () => reply(result)),
      });
    });
  }

  /** Delivers a message after a delay. If the link is cut, the call fails at once or gets no reply at all. */
  private transmit(from: string, to: string, fail: (result: unknown) => void, deliver: () => void): void {
    const isBroken = (): boolean =>
      this.cutLinks.has(from) || this.cutLinks.has(to) || this.killed.has(to) || this.killed.has(from);
    const delayMs = MIN_DELAY_MS + this.random.integer(MAX_DELAY_MS);
    this.clock.schedule(delayMs, () => {
      if (!isBroken()) deliver();
      else if (!this.silent) fail(undefined);
    });
  }
}

async function settle(): Promise<void> {
  for (let index = 0; index < 8; index += 1) await Promise.resolve();
}
