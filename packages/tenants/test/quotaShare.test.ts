import t from 'tap';
import type { Tenant } from '#routes/Tenant.js';
import { computeBound } from './ComputeBound.js';
import { countArrivals } from './CountArrivals.js';
import { createTenant } from './CreateTenant.js';
import { listServers } from './ListServers.js';
import { SimulatedQuotas } from './SimulatedQuotas.js';

const SEED = Number(process.env.SEED ?? 20261206);
t.comment(`seed ${SEED}`);

const WINDOW_MS = 5_000;

/** Time after the start in which a holder is not yet sure to be the only one, and has no tokens. */
const START_MS = 10_000;

/** Requests of a token bucket with the limits of the tenant, which keeps it nearly empty after a burst. */
class ConformingDemand {
  private tokens: number;
  private lastMs: number;

  public constructor(
    private readonly tenant: Tenant,
    nowMs: number,
  ) {
    this.tokens = tenant.burst;
    this.lastMs = nowMs;
  }

  public take(nowMs: number, wanted: number): number {
    const { ratePerSecond, burst } = this.tenant;
    this.tokens = Math.min(Math.max(1, burst), this.tokens + ((nowMs - this.lastMs) * ratePerSecond) / 1_000);
    this.lastMs = nowMs;
    const taken = Math.min(Math.floor(this.tokens), wanted);
    this.tokens -= taken;
    return taken;
  }
}

const TENANTS = [
  createTenant('tiny', 1, 1),
  createTenant('small', 5, 5),
  createTenant('medium', 60, 20),
  createTenant('steep', 100, 0),
  createTenant('large', 400, 200),
];

for (const tenant of TENANTS) {
  // Guards against a division that refuses requests of a tenant below its limit since the unused part is elsewhere.
  t.test(`no refusal below the limit: ${tenant.name}`, async (t) => {
    const servers = listServers(60);
    for (const pattern of ['random', 'moving', 'single'] as const) {
      const run = new SimulatedQuotas(servers, [tenant], { seed: SEED });
      await run.run(START_MS, () => undefined);
      const demand = new ConformingDemand(tenant, run.clock.monotonicMs());
      await run.run(10_000, (nowMs) => {
        const moving = servers[Math.floor(nowMs / 400) % servers.length]!;
        const count = demand.take(nowMs, countArrivals(run, tenant.ratePerSecond * 1.5));
        for (let index = 0; index < count; index += 1)
          run.arrive(
            pattern === 'random' ? run.pick(servers) : pattern === 'moving' ? moving : servers[0]!,
            tenant.name,
          );
      });
      await run.run(500, () => undefined);
      const calls = Math.max(0, ...run.calls.values());
      const waited = run.ends.map(({ waitedMs }) => waitedMs).sort((left, right) => left - right);
      t.equal(run.countRefused(), 0, `${pattern}: none of ${run.ends.length} is refused`);
      t.comment(
        `${pattern}: waits p50 ${waited[Math.floor(waited.length / 2)]} p99 ${waited[Math.floor(waited.length * 0.99)]} ms, at most ${calls / 10.5} calls a second by one daemon`,
      );
      t.ok(calls <= 10.5 * 8, 'calls of one daemon');
      t.ok(run.countPeak(tenant.name, WINDOW_MS) <= computeBound(tenant));
      run.stop();
    }
  });
}
