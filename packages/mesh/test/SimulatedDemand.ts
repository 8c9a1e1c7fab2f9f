import type { RandomSource } from '#core/RandomSource.js';
import { findRow } from '#ranges/FindRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { SimulatedVm } from './SimulatedVm.js';

const KEYS = 65_536;

/** Requests posted at one time, and the work of each in milliseconds. */
const REQUESTS = 4;
const LONGEST_WORK_MS = 60;

/** Time for which one key is the hottest, in milliseconds. */
const HOT_MS = 4_000;

/** Width of the busy keys, of which the lowest are asked for most. */
const BUSY_KEYS = 6_000;

/** Requests of callers for keys: one hot key, which changes, and busy keys that lie close together. */
export class SimulatedDemand {
  private readonly random: RandomSource;
  private hotKey = 0;
  private hotUntilMs = 0;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  /** Posts the work of some requests to the daemons that own their keys. */
  public post(table: RangeTable, vms: readonly SimulatedVm[], nowMs: number): void {
    if (nowMs >= this.hotUntilMs) {
      this.hotKey = this.random.integer(KEYS);
      this.hotUntilMs = nowMs + this.random.integer(2 * HOT_MS);
    }
    for (let index = 0; index < REQUESTS; index += 1) {
      const key = this.pickKey();
      const row = findRow(table.rows, key);
      vms.find(({ id }) => id === row?.serverId)?.demand(key, this.random.integer(LONGEST_WORK_MS));
    }
  }

  private pickKey(): number {
    const kind = this.random.integer(5);
    if (kind < 2) return this.hotKey;
    if (kind === 2) return this.random.integer(KEYS);
    const near = this.random.integer(this.random.integer(this.random.integer(BUSY_KEYS) + 1) + 1);
    return (this.hotKey + near) % KEYS;
  }
}
