import type { RandomSource } from '#core/RandomSource.js';
import { findRow } from '#ranges/FindRow.js';
import type { RangeTable } from '#ranges/RangeTable.js';
import type { SimulatedVm } from './SimulatedVm.js';

const KEYS = 65_536;

/** Number of requests per call of `post`, and the maximum work of one, in milliseconds. */
const REQUESTS_PER_POST = 4;
const MAX_WORK_MS = 60;

/** Mean time until the hot key changes, in milliseconds. */
const MEAN_HOT_MS = 4_000;

/** Size of the busy key range after the hot key, in which keys near the hot key are requested most often. */
const BUSY_KEYS = 6_000;

/** Generates requests for a hot key, which changes over time, for the keys that follow it, and for random keys. */
export class SimulatedDemand {
  private readonly random: RandomSource;
  private hotKey = 0;
  private hotUntilMs = 0;

  public constructor(random: RandomSource) {
    this.random = random;
  }

  /** Reports the work of some requests to the daemons that own their keys. */
  public post(table: RangeTable, vms: readonly SimulatedVm[], nowMs: number): void {
    if (nowMs >= this.hotUntilMs) {
      this.hotKey = this.random.integer(KEYS);
      this.hotUntilMs = nowMs + this.random.integer(2 * MEAN_HOT_MS);
    }
    for (let index = 0; index < REQUESTS_PER_POST; index += 1) {
      const key = this.pickKey();
      const row = findRow(table.rows, key);
      vms.find(({ id }) => id === row?.serverId)?.demand(key, this.random.integer(MAX_WORK_MS));
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
