import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import { PresenceTask } from '#mesh/PresenceTask.js';
import { MemoryCollectionStore } from '#standin/MemoryCollectionStore.js';

const announcement: Announcement = {
  instanceId: 'i',
  bornMs: 5_000,
  sequence: 3,
  service: 's',
  address: '10.0.0.1:1',
  slots: 4,
  draining: false,
  coldLeftMs: 0,
  holds: [],
  released: [],
};

/** A `PresenceTask` beside a backend server of service `s`; the configuration also contains service `t`. */
class PresenceRun {
  public readonly clock = new ManualClock();
  public readonly ended: (readonly [incarnation: string, proven: boolean])[] = [];
  /** Number of connections requested to check whether the backend server refuses them. */
  public probes = 0;
  public readonly task = new PresenceTask({
    identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
    processId: 'p',
    address: '10.0.0.1:2',
    announceEveryMs: 900,
    store: new MemoryCollectionStore(),
    clock: this.clock,
    logger: new Logger('test'),
    isConfigured: (service) => service === 't',
    onPresence: () => undefined,
    onCheckIn: ({ reply }) => reply({ rows: [], holdMs: 1_000 }),
    onEnded: (incarnation, proven) => this.ended.push([incarnation, proven]),
    onProbeNeeded: () => {
      this.probes += 1;
    },
  });

  public announce(change: Partial<Announcement> = {}): Promise<AnnouncementReply> {
    const changed = { ...announcement, ...change };
    return this.task.ask((reply) => ({ type: 'announced', announcement: changed, reply }));
  }

  /** Reports that a connection to the announced run was refused. */
  public async reportRefused(): Promise<void> {
    this.task.post({ type: 'evidence', evidence: { kind: 'refused', incarnation: 'i/5000' } });
    await Promise.resolve();
  }

  public async advance(ms: number): Promise<void> {
    this.clock.advance(ms);
    await Promise.resolve();
  }
}

t.test('announcement of an unknown service does not replace the server', async (t) => {
  // Guards against taking it for the next run of the server, which would prove the end of the run that holds the keys.
  const run = new PresenceRun();
  await run.announce();
  t.match(await run.announce({ instanceId: 'x', bornMs: 9_000, service: 'u' }), { accepted: false });
  t.same(run.ended, []);
  t.match(await run.announce({ sequence: 4 }), { accepted: true, grant: { holdMs: 1_000 } });
});

t.test('server of another configured service is accepted without a grant', async (t) => {
  // Guards against granting it the keys of the daemon's own service.
  const run = new PresenceRun();
  t.match(await run.announce({ service: 't' }), { accepted: true, grant: undefined });
});

t.test('delayed withdrawal of a former run does not end the current run', async (t) => {
  // Guards against a restarted server with the same instance id that is taken for ended.
  const run = new PresenceRun();
  await run.announce();
  const leave = (bornMs: number | undefined): Promise<void> =>
    run.task.ask((reply) => ({ type: 'withdrawn', instanceId: 'i', bornMs, reply: () => reply() }));
  await leave(4_000);
  t.same(run.ended, []);
  await leave(5_000);
  t.same(run.ended, [['i/5000', false]]);
});

t.test('delayed announcement of a former run is ignored', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  t.match(await run.announce({ instanceId: 'x', bornMs: 4_000 }), { accepted: false, grant: undefined });
  t.match(await run.announce({ sequence: 2 }), { accepted: true, grant: undefined });
  t.same(run.ended, []);
});

t.test('later run proves the end of the former one', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  await run.announce({ bornMs: 6_000, sequence: 1 });
  t.same(run.ended, [['i/5000', true]]);
});

t.test('silence ends a run without proof', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  run.task.post({ type: 'evidence', evidence: { kind: 'silent', incarnation: 'i/5000' } });
  await run.announce({ sequence: 4 });
  t.same(run.ended, [], 'no announcement is overdue');
  run.clock.advance(2_000);
  run.task.post({ type: 'evidence', evidence: { kind: 'silent', incarnation: 'i/5000' } });
  await run.announce({ sequence: 5 });
  t.same(run.ended, [['i/5000', false]]);
});

t.test('one refused connection does not prove the end of a run', async (t) => {
  // Guards against moving keys away from a live server that has no listener for a moment and still holds its last grant.
  const run = new PresenceRun();
  await run.announce();
  await run.reportRefused();
  await run.reportRefused();
  t.same(run.ended.at(-1), ['i/5000', false]);
  await run.advance(1_000);
  await run.announce({ sequence: 4 });
  await run.advance(1_000);
  await run.reportRefused();
  t.same(run.ended.at(-1), ['i/5000', false], 'it announced itself since the first refusal');
});

t.test('refused connection after silence proves the end of a run', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  await run.advance(500);
  await run.reportRefused();
  await run.advance(1_200);
  t.equal(run.probes, 0);
  await run.advance(200);
  t.equal(run.probes, 1, 'no announcement for two intervals');
  await run.reportRefused();
  t.same(run.ended.at(-1), ['i/5000', true]);
});

t.test('refused connection after a stall of the daemon proves nothing', async (t) => {
  // Guards against taking the server for silent while its announcements wait to be read.
  const run = new PresenceRun();
  await run.announce();
  await run.advance(5_000);
  await run.reportRefused();
  t.same(run.ended.at(-1), ['i/5000', false]);
  await run.announce({ sequence: 4 });
  await run.advance(1_000);
  t.equal(run.probes, 0);
});

t.test('connection refused by a leaving run proves nothing', async (t) => {
  // A leaving server may close its port while it still works on requests for its keys.
  const run = new PresenceRun();
  await run.announce({ draining: true });
  await run.reportRefused();
  await run.advance(2_000);
  await run.reportRefused();
  t.same(run.ended.at(-1), ['i/5000', false]);
});
