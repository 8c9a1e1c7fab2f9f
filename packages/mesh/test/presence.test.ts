import t from 'tap';
import { Logger } from '#core/Logger.js';
import { ManualClock } from '#core/ManualClock.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import type { EndOfUse } from '#mesh/EndOfUse.js';
import type { Presence } from '#mesh/Presence.js';
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
  public readonly ended: (readonly [incarnation: string, reason: EndOfUse])[] = [];
  public readonly store: MemoryCollectionStore;
  public state: Presence['state'] = 'absent';
  public readonly task: PresenceTask;

  /** Another process of the same daemon has the same store and another `processId`. */
  public constructor(store = new MemoryCollectionStore(), processId = 'p') {
    this.store = store;
    this.task = new PresenceTask({
      identity: { serverId: 'a', failureDomain: 'd', region: 'r', service: 's' },
      processId,
      address: '10.0.0.1:2',
      announceEveryMs: 900,
      store,
      clock: this.clock,
      logger: new Logger('test'),
      isConfigured: (service) => service === 't',
      onPresence: ({ state }) => {
        this.state = state;
      },
      onCheckIn: ({ reply }) => reply({ rows: [], holdMs: 1_000 }),
      onEnded: (incarnation, reason) => this.ended.push([incarnation, reason]),
    });
    this.task.start();
  }

  public announce(change: Partial<Announcement> = {}): Promise<AnnouncementReply> {
    const changed = { ...announcement, ...change };
    return this.task.ask((reply) => ({ type: 'announced', announcement: changed, reply }));
  }

  /** Announces a leave and lets the time pass in which it is recorded or refused. */
  public async drain(change: Partial<Announcement> = {}): Promise<AnnouncementReply> {
    const reply = this.announce({ draining: true, ...change });
    await this.settle();
    return reply;
  }

  /** Withdraws a run and lets the time pass in which that is recorded or refused. */
  public async withdraw(bornMs: number | undefined = 5_000, instanceId = 'i'): Promise<boolean> {
    const reply = this.task.ask<boolean>((each) => ({ type: 'withdrawn', instanceId, bornMs, reply: each }));
    await this.settle();
    return reply;
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

  /** Lets 900 ms pass in steps, after each of which the store has responded. */
  public async settle(): Promise<void> {
    for (let step = 0; step < 15; step += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      this.clock.advance(60);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }

  /** Kills the process and starts the next one on the same store. */
  public restart(processId: string): PresenceRun {
    this.task.stop();
    return new PresenceRun(this.store, processId);
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
  await run.withdraw(4_000);
  t.same(run.ended, []);
  await run.withdraw(5_000);
  t.same(run.ended, [['i/5000', 'left']]);
});

t.test('delayed announcement of a former run is ignored', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  t.match(await run.announce({ instanceId: 'x', bornMs: 4_000 }), { accepted: false, grant: undefined });
  t.match(await run.announce({ sequence: 2 }), { accepted: true, grant: undefined });
  t.same(run.ended, []);
});

t.test('later run replaces the former one', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  await run.announce({ bornMs: 6_000, sequence: 1 });
  t.same(run.ended, [['i/5000', 'replaced']]);
});

t.test('silence ends the use of a run', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  run.task.post({ type: 'evidence', evidence: { kind: 'silent', incarnation: 'i/5000' } });
  await run.announce({ sequence: 4 });
  t.same(run.ended, [], 'no announcement is overdue');
  run.clock.advance(2_000);
  run.task.post({ type: 'evidence', evidence: { kind: 'silent', incarnation: 'i/5000' } });
  await run.announce({ sequence: 5 });
  t.same(run.ended, [['i/5000', 'unreachable']]);
});

t.test('run that refuses connections is used again once it announces itself', async (t) => {
  // A live server can be without a listener, or cut off, for a moment.
  const run = new PresenceRun();
  await run.announce();
  await run.reportRefused();
  t.equal(run.state, 'absent');
  t.same(run.ended, [['i/5000', 'unreachable']]);
  await run.advance(1_000);
  await run.announce({ sequence: 4 });
  t.equal(run.state, 'ready');
});

t.test('leaving run that refuses connections is not used', async (t) => {
  // A leaving server may close its port while it still works on requests for its keys.
  const run = new PresenceRun();
  await run.drain();
  await run.reportRefused();
  await run.advance(2_000);
  await run.reportRefused();
  t.equal(run.state, 'absent');
  t.same(run.ended.at(-1), ['i/5000', 'unreachable']);
});

t.test(
  'time at which the keys of an unreachable run are free is published until it announces itself',
  async (t) => {
    const run = new PresenceRun();
    await run.announce();
    await run.reportRefused();
    run.task.post({ type: 'unreachable', server: { incarnation: 'i/5000', keysFreeMs: 9_000 } });
    await run.settle();
    t.match(run.store.read('servers', 'a')?.value, { state: 'absent', keysFreeMs: 9_000 });
    await run.announce({ sequence: 4 });
    await run.settle();
    t.match(run.store.read('servers', 'a')?.value, { state: 'ready', keysFreeMs: undefined });
  },
);

t.test('withdrawn run is not used by later processes', async (t) => {
  // After a restart of its daemon, an announcement that arrives late made a server that had left available to all daemons.
  const first = new PresenceRun();
  await first.announce();
  t.equal(await first.withdraw(), true);
  const second = first.restart('q');
  await second.announce({ sequence: 9 });
  t.equal(second.state, 'gone');
  await second.settle();
  const third = second.restart('r');
  await third.announce({ sequence: 10 });
  t.equal(third.state, 'gone', 'after another restart');
});

t.test('withdrawn run is not used if its process ends with the acknowledgement', async (t) => {
  // Guards against an acknowledgement that is sent before the store contains what it promises.
  const first = new PresenceRun();
  await first.announce();
  const reply = first.task.ask<boolean>((each) => ({
    type: 'withdrawn',
    instanceId: 'i',
    bornMs: 5_000,
    reply: (recorded) => {
      first.task.stop();
      each(recorded);
    },
  }));
  await first.settle();
  t.equal(await reply, true);
  const second = first.restart('q');
  await second.announce({ sequence: 9 });
  t.equal(second.state, 'gone');
});

t.test('draining run is not used by a later process', async (t) => {
  // Guards against an announcement that was sent before the drain and arrives after a restart.
  const first = new PresenceRun();
  await first.announce({ sequence: 3 });
  t.match(await first.drain({ sequence: 5 }), { accepted: true });
  const second = first.restart('q');
  await second.announce({ sequence: 4 });
  t.equal(second.state, 'draining');
  await second.announce({ sequence: 6, draining: true });
  t.equal(second.state, 'draining');
});

t.test('second leave of a run is not acknowledged by the record of the first', async (t) => {
  // Guards against a run that leaves again, is acknowledged before the store contains it, and is used after a restart.
  const first = new PresenceRun();
  await first.announce({ sequence: 3 });
  t.match(await first.drain({ sequence: 5 }), { accepted: true });
  await first.announce({ sequence: 6 });
  const reply = first.task.ask<AnnouncementReply>((each) => ({
    type: 'announced',
    announcement: { ...announcement, draining: true, sequence: 7 },
    reply: (accepted) => {
      first.task.stop();
      each(accepted);
    },
  }));
  await first.settle();
  t.match(await reply, { accepted: true });
  const second = first.restart('q');
  await second.announce({ sequence: 6 });
  t.equal(second.state, 'draining');
});

t.test('leave is refused while the store cannot record it', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  await run.settle();
  run.store.faultMode = 'down';
  t.match(await run.drain({ sequence: 4 }), { accepted: false, retry: true });
  t.equal(run.state, 'draining', 'it takes effect in this process');
  t.equal(await run.withdraw(), false);
  t.equal(run.state, 'gone');
  run.store.faultMode = 'none';
  await run.settle();
  t.equal(await run.withdraw(), true);
});

t.test('leave whose write lost its reply is found in the store', async (t) => {
  const run = new PresenceRun();
  await run.announce();
  await run.settle();
  run.store.faultMode = 'repliesLost';
  t.equal(await run.withdraw(), true);
  t.match(run.store.read('servers', 'a')?.value, { state: 'gone', leave: { bornMs: 5_000 } });
});

t.test('withdrawal before the first announcement is remembered', async (t) => {
  // A restarted daemon acknowledged a withdrawal of a run that it did not know, and forgot it.
  const run = new PresenceRun();
  t.equal(await run.withdraw(), true);
  await run.announce();
  t.equal(run.state, 'gone');
  const next = run.restart('q');
  await next.announce({ sequence: 8 });
  t.equal(next.state, 'gone');
});

t.test('run after a withdrawn one is used', async (t) => {
  // Guards against a server that stays out of use because a former run with its id has left.
  const first = new PresenceRun();
  await first.announce();
  await first.withdraw();
  const second = first.restart('q');
  await second.announce({ bornMs: 6_000, sequence: 1 });
  t.equal(second.state, 'ready');
  await second.settle();
  const third = second.restart('r');
  await third.announce({ bornMs: 6_000, sequence: 2 });
  t.equal(third.state, 'ready');
});

t.test('single announcement is not trusted while the entry cannot be read', async (t) => {
  // A new process that cannot read the store does not know whether the run has left.
  const first = new PresenceRun();
  await first.announce();
  await first.withdraw();
  first.store.faultMode = 'down';
  const second = first.restart('q');
  await second.announce({ sequence: 9 });
  t.equal(second.state, 'absent');
  first.store.faultMode = 'none';
  await second.settle();
  t.equal(second.state, 'gone', 'the entry was read');
});

t.test('server that goes on announcing itself is used in an outage', async (t) => {
  // Guards against a live server that is out of use for the length of an outage of the store.
  const first = new PresenceRun();
  await first.announce();
  await first.settle();
  first.store.faultMode = 'down';
  const second = first.restart('q');
  for (let sequence = 4; sequence < 7; sequence += 1) {
    t.equal(second.state, 'absent');
    t.match(await second.announce({ sequence }), { accepted: true });
    await second.settle();
  }
  t.equal(second.state, 'ready');
});

t.test('entry that is read late ends the use of a run that has left', async (t) => {
  const first = new PresenceRun();
  await first.announce();
  await first.withdraw();
  first.store.faultMode = 'down';
  const second = first.restart('q');
  for (let sequence = 4; sequence < 7; sequence += 1) {
    await second.announce({ sequence });
    await second.settle();
  }
  t.equal(
    second.state,
    'ready',
    'delayed announcements at intervals cannot be told from those of a live server',
  );
  first.store.faultMode = 'none';
  await second.settle();
  t.equal(second.state, 'gone');
});

t.test('withdrawn run that is silent is not used again', async (t) => {
  // Evidence of its end made it absent, and a late announcement of the same run made it ready.
  const run = new PresenceRun();
  await run.announce();
  await run.withdraw();
  await run.advance(3_000);
  run.task.post({ type: 'evidence', evidence: { kind: 'silent', incarnation: 'i/5000' } });
  await run.announce({ sequence: 9 });
  t.equal(run.state, 'gone');
});

t.test('run that starts after its clock was set back is used', async (t) => {
  // It says that it started before the run that it follows, and was refused for good.
  const run = new PresenceRun();
  await run.announce();
  const successor = { instanceId: 'j', bornMs: 1_000 };
  for (let sequence = 1; sequence <= 12; sequence += 1) {
    t.match(
      await run.announce({ ...successor, sequence }),
      { accepted: false },
      `after ${sequence} announcements`,
    );
    await run.settle();
  }
  await run.advance(1_300);
  t.match(await run.announce({ ...successor, sequence: 13 }), { accepted: true });
  t.same(run.ended, [['i/5000', 'replaced']]);
});

t.test('delayed announcements of a former run do not replace a live one', async (t) => {
  const run = new PresenceRun();
  for (let sequence = 10; sequence < 30; sequence += 1) {
    await run.announce({ sequence });
    await run.settle();
    t.match(await run.announce({ bornMs: 4_000, sequence }), { accepted: false });
  }
  t.same(run.ended, []);
});

t.test('leave is written again after a restore', async (t) => {
  // Guards against an acknowledged leave that is forgotten with the daemon's entry.
  const run = new PresenceRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  await run.announce();
  await run.settle();
  const backup = run.store.backUp();
  t.equal(await run.withdraw(), true);
  run.store.restore(backup);
  t.match(run.store.read('servers', 'a')?.value, { state: 'ready' });
  await run.store.probe();
  await run.settle();
  t.match(run.store.read('servers', 'a')?.value, { state: 'gone', leave: { bornMs: 5_000 } });
});

t.test('entry that a restore has lost is written again', async (t) => {
  const run = new PresenceRun();
  t.teardown(() => run.task.stop());
  run.store.setEraListener((change) => run.task.post({ type: 'eraChanged', change }));
  const backup = run.store.backUp();
  await run.announce();
  await run.settle();
  for (const era of [1, 2]) {
    run.store.restore(backup);
    await run.store.probe();
    await run.settle();
    t.match(run.store.read('servers', 'a')?.value, { state: 'ready' }, `restore ${era}`);
  }
});

t.test('run needs confirmation where a restore may have undone its leave', async (t) => {
  // The daemon starts in the middle of the restore, and a delayed announcement of the run that has left arrives.
  const first = new PresenceRun();
  await first.announce();
  await first.settle();
  const backup = first.store.backUp();
  await first.withdraw();
  first.task.stop();
  first.store.restore(backup);
  const run = new PresenceRun(first.store, 'p2');
  t.teardown(() => run.task.stop());
  run.task.post({ type: 'eraChanged', change: { era: 1, isFirst: true } });
  await run.settle();
  await run.announce({ sequence: 9 });
  await run.settle();
  t.equal(run.state, 'absent');
});
