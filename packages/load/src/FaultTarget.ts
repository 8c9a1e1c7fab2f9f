import type { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';

/** Delay of each reply of a slow store; well beyond the renewal interval. */
const SLOW_STORE_DELAY_MS = 400;

/** Applies faults to a fleet. Faults may overlap: a process stays lost and the store stays down until the last one ends. */
export class FaultTarget {
  private readonly activeLosses = new Map<string, number>();
  private readonly activeFreezes = new Map<string, number>();
  private activeOutages = 0;
  private activeSlowdowns = 0;

  public constructor(
    private readonly fleet: Fleet,
    public readonly instances: readonly Instance[],
  ) {}

  /** Kills the daemon or the backend server of an instance, or both. */
  public async kill(serverId: string, component: 'daemon' | 'backend' | 'vm'): Promise<void> {
    this.activeLosses.set(serverId, (this.activeLosses.get(serverId) ?? 0) + 1);
    await this.fleet.kill(serverId, component);
  }

  /** Replaces the lost processes of an instance when its last loss ends. */
  public async replace(serverId: string): Promise<void> {
    const remaining = (this.activeLosses.get(serverId) ?? 1) - 1;
    this.activeLosses.set(serverId, remaining);
    if (remaining === 0) await this.fleet.replaceLost(serverId);
  }

  /** Pauses a daemon. */
  public freeze(serverId: string): void {
    this.activeFreezes.set(serverId, (this.activeFreezes.get(serverId) ?? 0) + 1);
    this.fleet.signal(serverId, 'SIGSTOP', 'daemon');
  }

  /** Resumes a daemon when its last freeze ends. */
  public unfreeze(serverId: string): void {
    const remaining = (this.activeFreezes.get(serverId) ?? 1) - 1;
    this.activeFreezes.set(serverId, remaining);
    if (remaining === 0) this.fleet.signal(serverId, 'SIGCONT', 'daemon');
  }

  /** Starts or ends an outage of the store. */
  public async setStoreDown(isDown: boolean): Promise<void> {
    this.activeOutages += isDown ? 1 : -1;
    await this.fleet.setStoreFaults({ down: this.activeOutages > 0 });
  }

  /** Starts or ends a slowdown of the store. */
  public async setStoreSlow(isSlow: boolean): Promise<void> {
    this.activeSlowdowns += isSlow ? 1 : -1;
    await this.fleet.setStoreFaults({ delayMs: this.activeSlowdowns > 0 ? SLOW_STORE_DELAY_MS : 0 });
  }

  /** Makes the store drop its replies to the next `count` accepted changes. */
  public async loseReplies(count: number): Promise<void> {
    await this.fleet.setStoreFaults({ loseReplies: count });
  }
}
