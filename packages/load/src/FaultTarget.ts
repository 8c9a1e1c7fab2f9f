import type { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';

/** Time after which a store is taken to answer slowly, in milliseconds; well beyond the renewal interval. */
const SLOW_STORE_MS = 400;

/** A fleet under faults. Faults may overlap: a process stays lost and a store stays down until the last one ends. */
export class FaultTarget {
  private readonly lost = new Map<string, number>();
  private readonly frozen = new Map<string, number>();
  private downs = 0;
  private slows = 0;

  public constructor(
    private readonly fleet: Fleet,
    public readonly instances: readonly Instance[],
  ) {}

  /** Kills the daemon or the backend server of an instance, or both. */
  public async kill(serverId: string, what: 'daemon' | 'backend' | 'vm'): Promise<void> {
    this.lost.set(serverId, (this.lost.get(serverId) ?? 0) + 1);
    await this.fleet.kill(serverId, what);
  }

  /** Replaces the lost processes of an instance by new ones. */
  public async replace(serverId: string): Promise<void> {
    const left = (this.lost.get(serverId) ?? 1) - 1;
    this.lost.set(serverId, left);
    if (left === 0) await this.fleet.replaceLost(serverId);
  }

  /** Stops a daemon without ending it. */
  public freeze(serverId: string): void {
    this.frozen.set(serverId, (this.frozen.get(serverId) ?? 0) + 1);
    this.fleet.signal(serverId, 'SIGSTOP', 'daemon');
  }

  /** Continues a daemon. */
  public thaw(serverId: string): void {
    const left = (this.frozen.get(serverId) ?? 1) - 1;
    this.frozen.set(serverId, left);
    if (left === 0) this.fleet.signal(serverId, 'SIGCONT', 'daemon');
  }

  /** Takes the store down or ends one such fault. */
  public async setStoreDown(isDown: boolean): Promise<void> {
    this.downs += isDown ? 1 : -1;
    await this.fleet.setStoreFaults({ down: this.downs > 0 });
  }

  /** Slows the store or ends one such fault. */
  public async setStoreSlow(isSlow: boolean): Promise<void> {
    this.slows += isSlow ? 1 : -1;
    await this.fleet.setStoreFaults({ delayMs: this.slows > 0 ? SLOW_STORE_MS : 0 });
  }

  /** Sets how many of the next accepted changes get no reply. */
  public async loseReplies(count: number): Promise<void> {
    await this.fleet.setStoreFaults({ loseReplies: count });
  }
}
