import { Fleet } from '#load/Fleet.js';
import type { Instance } from '#settings/Instance.js';
import type { Timings } from '#settings/Timings.js';
import { createCatalogue } from './CreateCatalogue.js';

/** Starts daemons `d1`, `d2`, ... in one region, distributed over the failure domains `a`, `b` and `c`. */
export async function startFleet(count: number, timings: Partial<Timings> = {}): Promise<Fleet> {
  const instances = Array.from({ length: count }, (_, index): Instance => {
    const failureDomain = ['a', 'b', 'c'][index % 3] ?? 'a';
    const base = { service: 'badges', region: 'nairobi', failureDomain, slots: 6, connections: 40 };
    return { ...base, serverId: `d${index + 1}`, vm: `vm${index + 1}`, checksToken: true };
  });
  const fleet = new Fleet({
    command: [process.execPath, '--disable-warning=ExperimentalWarning', 'build/packages/cli/src/Main.js'],
    instances,
    catalogue: createCatalogue(),
    serviceMs: 6,
    coldStartMs: 0,
    seed: 7,
    timings: { leaseMs: 1_500, renewEveryMs: 300, spreadEveryMs: 150, shutdownMs: 15_000, ...timings },
    logs: process.env.KEEP_LOGS === undefined ? '' : 'amaranthrouter:*',
  });
  try {
    await fleet.start();
    await fleet.waitServing(30_000);
  } catch (err) {
    await fleet.stop();
    throw err;
  }
  return fleet;
}
