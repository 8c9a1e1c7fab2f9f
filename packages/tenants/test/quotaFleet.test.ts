import t from 'tap';
import type { Tenant } from '#routes/Tenant.js';
import { chooseQuotaHolder } from '#tenants/ChooseQuotaHolder.js';
import { SimulatedQuotas } from './SimulatedQuotas.js';

const SEED = Number(process.env.SEED ?? 20261206);
t.comment(`seed ${SEED}`);

const WINDOW_MS = 5_000;

/** Time after the start in which a holder is not yet sure to be the only one, and has no tokens. */
const START_MS = 10_000;

function createTenant(name: string, ratePerSecond: number, burst: number): Tenant {
  return { name, priority: undefined, ratePerSecond, burst, homeRegions: [] };
}

function listServers(count: number): readonly string[] {
  return Array.from({ length: count }, (_, index) => `d${index}`);
}

function bound({ ratePerSecond, burst }: Tenant): number {
  return (ratePerSecond * 5 + burst) * 1.1 + 20;
}

/** Number of requests in one step of 5 ms at a rate. */
function countArrivals(run: SimulatedQuotas, ratePerSecond: number): number {
  const exact = ratePerSecond / 200;
  return Math.floor(exact) + (run.integer(1_000_000) < (exact % 1) * 1_000_000 ? 1 : 0);
}

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
      t.ok(run.countPeak(tenant.name, WINDOW_MS) <= bound(tenant));
      run.stop();
    }
  });
}

type Fault =
  'none' | 'holderKilled' | 'holderRestarted' | 'holderCut' | 'clientsCut' | 'twoHolders' | 'joins';

const FAULTS: readonly Fault[] = [
  'none',
  'holderKilled',
  'holderRestarted',
  'holderCut',
  'clientsCut',
  'twoHolders',
  'joins',
];

for (const tenant of TENANTS) {
  for (const fault of FAULTS) {
    // Guards against more requests than the bound in any 5 s, summed over all daemons, while holders change or are lost.
    t.test(`never above the bound: ${tenant.name}, ${fault}`, async (t) => {
      const joining = 'joiner';
      const servers = listServers(40);
      for (const silent of [false, true]) {
        const run = new SimulatedQuotas(servers, [tenant], { seed: SEED, silent });
        const holder = chooseQuotaHolder(servers, tenant.name)!;
        const without = servers.filter((each) => each !== holder);
        const flood = (): void => {
          const count = countArrivals(run, Math.max(300, tenant.ratePerSecond * 4));
          for (let index = 0; index < count; index += 1) run.arrive(run.pick(servers), tenant.name);
        };
        await run.run(START_MS, () => undefined);
        await run.run(1_500, flood);
        const faultMs = run.clock.monotonicMs();
        if (fault === 'holderKilled') run.kill(holder);
        if (fault === 'holderRestarted') {
          run.kill(holder);
          await run.run(400, flood);
          run.start(holder, servers);
        }
        if (fault === 'holderCut') run.setCut(holder, true);
        if (fault === 'clientsCut') for (const each of without.slice(0, 15)) run.setCut(each, true);
        if (fault === 'twoHolders') {
          // Half of the daemons, and the holder, keep their view for 3 s after the others have dropped the holder.
          for (const each of without.slice(0, 20)) run.show(each, without);
          await run.run(2_900, flood);
          for (const each of servers) run.show(each, without);
        }
        if (fault === 'joins') {
          const views = Array.from({ length: 6 }, (_, index) => [...servers, ...listJoined(index + 1)]);
          for (const [index, view] of views.entries()) {
            run.start(`${joining}${index}`, view);
            for (const each of servers) if (run.integer(2) === 0) run.show(each, view);
            await run.run(300, flood);
            for (const each of view) run.show(each, view);
          }
        }
        await run.run(8_000, flood);
        const peak = run.countPeak(tenant.name, WINDOW_MS);
        t.ok(
          peak <= bound(tenant),
          `${peak} of ${bound(tenant)} in 5 s (${silent ? 'silent' : 'failing'} links)`,
        );
        const atFault = run.countAdmitted(faultMs, faultMs + 8_000);
        t.comment(`admitted in 8 s from the fault: ${atFault}; limit ${tenant.ratePerSecond * 8}`);
        if (fault === 'none' || fault === 'clientsCut')
          t.ok(atFault >= tenant.ratePerSecond * 8 * 0.9, 'the limit is used');
        run.stop();
      }

      function listJoined(count: number): readonly string[] {
        return Array.from({ length: count }, (_, index) => `${joining}${index}`);
      }
    });
  }
}
