import t from 'tap';
import { Logger } from '#core/Logger.js';
import type { RandomSource } from '#core/RandomSource.js';
import { MetricsRecorder } from '#metrics/MetricsRecorder.js';
import type { DaemonIdentity } from '#mesh/DaemonIdentity.js';
import { FastestCompletion } from '#mesh/FastestCompletion.js';
import { NearestLeastWait } from './NearestLeastWait.js';
import type { PlacementOutcome } from './PlacementOutcome.js';
import type { PlacementSettings } from './PlacementSettings.js';
import { PlacementSimulation } from './PlacementSimulation.js';

const UNEVEN: PlacementSettings = {
  seed: 1,
  daemons: 63,
  servers: 20,
  slots: 6,
  utilization: 0.75,
  wave: 0.5,
  speeds: [0.5, 1.5],
  jitter: 1.4,
  durationMs: 23_000,
  failing: 0,
  joinMs: 0,
};

const EVEN = { ...UNEVEN, speeds: [1, 1] as const, jitter: 1.05 };

const metrics = new MetricsRecorder();

function createNew(identity: DaemonIdentity, random: RandomSource): FastestCompletion {
  return new FastestCompletion(identity, random, new Logger('test'), metrics);
}

function createOld(identity: DaemonIdentity, random: RandomSource): NearestLeastWait {
  return new NearestLeastWait(identity, random);
}

function run(settings: PlacementSettings): PlacementOutcome {
  return new PlacementSimulation(settings, createNew).run();
}

function runOld(settings: PlacementSettings): PlacementOutcome {
  return new PlacementSimulation(settings, createOld).run();
}

t.test('waves of demand and uneven servers', (t) => {
  // Costs of distance outweighed waits that a daemon did not learn of: the busiest server had 2 to 5 times the mean load.
  for (const servers of [20, 9, 6]) {
    for (const seed of [1, 2, 3]) {
      const settings = { ...UNEVEN, servers, seed };
      const before = runOld(settings);
      const now = run(settings);
      const name = `${servers} servers, seed ${seed}`;
      t.comment(`${name}: ${JSON.stringify(before)} ${JSON.stringify(now)}`);
      t.ok(now.meanMs < before.meanMs * 0.85, `${name}: mean response time`);
      t.ok(now.p95Ms < before.p95Ms * 0.9, `${name}: 95th percentile`);
      t.ok(now.p99Ms < before.p99Ms * 0.95, `${name}: 99th percentile`);
      t.ok(now.served >= before.served - 0.001, `${name}: requests served`);
      t.ok(now.busiest < 1.6, `${name}: busiest server`);
    }
  }
  t.end();
});

t.test('even servers and light load stay as they were', (t) => {
  // Bytes between failure domains and regions are billed, and with free servers nearby nothing is gained by leaving.
  for (const servers of [20, 9]) {
    const settings = { ...EVEN, servers, utilization: 0.2, wave: 0 };
    const before = runOld(settings);
    const now = run(settings);
    t.comment(`${servers} servers: ${JSON.stringify(before)} ${JSON.stringify(now)}`);
    t.ok(now.meanMs <= before.meanMs * 1.03, `${servers} servers: mean response time`);
    t.ok(now.p99Ms <= before.p99Ms * 1.1, `${servers} servers: 99th percentile`);
    t.ok(now.otherDomain <= before.otherDomain + 0.02, `${servers} servers: other failure domains`);
    t.ok(now.otherRegion <= before.otherRegion + 0.02, `${servers} servers: other regions`);
  }
  t.end();
});

t.test('more demand than capacity', (t) => {
  // Requests that go to one full server after another are late or refused, though another server has room.
  const settings = { ...UNEVEN, utilization: 1.2 };
  const before = runOld(settings);
  const now = run(settings);
  t.comment(`${JSON.stringify(before)} ${JSON.stringify(now)}`);
  t.ok(now.served >= before.served, 'requests served');
  t.ok(now.busiest < 1.3, 'busiest server');
  t.end();
});

t.test('server that fails part of its requests', (t) => {
  // Its health checks pass, so nothing else keeps requests away from it.
  const sound = run(UNEVEN);
  const shares = [0.1, 0.3, 0.9].map((failing) => run({ ...UNEVEN, failing }).firstShare);
  t.comment(JSON.stringify([sound.firstShare, ...shares]));
  const [few = 0, some = 0, most = 0] = shares;
  t.ok(few < sound.firstShare && some < few && most < some, 'avoided in proportion to its failures');
  t.ok(most > 0 && most < 0.25 * sound.firstShare, 'tried again');
  t.end();
});

t.test('server that joins gets its share', (t) => {
  // A server without reports was left out, or flooded by all daemons at once.
  const joined = run({ ...EVEN, joinMs: 8_000, utilization: 0.7 });
  t.comment(JSON.stringify(joined));
  t.ok(joined.joinedShare > 0.6 && joined.joinedShare < 1.5, `share ${joined.joinedShare}`);
  t.ok(joined.cold < 0.02, `fraction ${joined.cold} refused by the cold server`);
  t.end();
});

t.test('daemons do not choose the same idle server at once', (t) => {
  const before = runOld({ ...UNEVEN, utilization: 0.95 });
  const now = run({ ...UNEVEN, utilization: 0.95 });
  t.ok(now.herd <= before.herd, `${now.herd} requests within 20 ms, ${before.herd} before`);
  t.end();
});
