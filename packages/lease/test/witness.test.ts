import t from 'tap';
import { createLeaseConfig } from '#lease/CreateLeaseConfig.js';
import { createWitnessState } from '#lease/CreateWitnessState.js';
import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessCommand } from '#lease/WitnessCommand.js';
import type { WitnessEvent } from '#lease/WitnessEvent.js';
import type { WitnessState } from '#lease/WitnessState.js';

const CONFIG = createLeaseConfig({ leaseMs: 1500, renewEveryMs: 400, clockDrift: 0.01 });
const W = 1515;

function run(
  state: WitnessState,
  ...events: readonly WitnessEvent[]
): { readonly state: WitnessState; readonly commands: readonly WitnessCommand[] } {
  let commands: readonly WitnessCommand[] = [];
  for (const event of events) ({ state, commands } = stepWitness(state, event, CONFIG));
  return { state, commands };
}

function renew(nowMs: number, epoch = 1, continuous = true, nonce = 'n'): WitnessEvent {
  return { type: 'renew', request: { serverId: 's', epoch, sentAtMs: nowMs, continuous, nonce }, nowMs };
}

function promise(nowMs: number, epoch: number): WitnessEvent {
  return { type: 'promise', request: { serverId: 's', epoch, sentAtMs: nowMs }, nowMs };
}

function isGranted(commands: readonly WitnessCommand[]): boolean {
  return commands.some((command) => command.type === 'replyRenew' && command.reply.granted);
}

function remaining(commands: readonly WitnessCommand[]): number | undefined {
  return commands.flatMap((command) =>
    command.type === 'replyPromise' ? [command.reply.remainingMs] : [],
  )[0];
}

const started = run(createWitnessState(), { type: 'started', nowMs: 0, nonce: 'n' }).state;
const ready = run(started, { type: 'tick', nowMs: CONFIG.silentMs }).state;

t.test('a restarted witness is silent for Q', (t) => {
  const early = run(started, { type: 'tick', nowMs: CONFIG.silentMs - 1 }).state;
  t.same(run(early, renew(CONFIG.silentMs - 1)).commands, []);
  t.same(run(early, promise(CONFIG.silentMs - 1, 1)).commands, []);
  t.ok(isGranted(run(ready, renew(CONFIG.silentMs)).commands));
  t.end();
});

t.test('a wrong nonce gets the right one and no grant', (t) => {
  const { state, commands } = run(ready, renew(5000, 1, true, 'old'));
  t.same(commands, [
    {
      type: 'replyRenew',
      serverId: 's',
      reply: { epoch: 1, sentAtMs: 5000, granted: false, nonce: 'n', promisedEpoch: 0 },
    },
  ]);
  t.notOk(state.context.records.has('s'));
  t.end();
});

t.test('a discontinuous renewal needs a remembered epoch', (t) => {
  t.notOk(isGranted(run(ready, renew(5000, 1, false)).commands));
  const known = run(ready, renew(5000)).state;
  t.ok(isGranted(run(known, renew(99_000, 1, false)).commands), 'remembered however late');
  t.notOk(isGranted(run(known, renew(5100, 2, false)).commands));
  t.end();
});

t.test('a promised epoch is never renewed', (t) => {
  const promised = run(ready, renew(5000, 2), promise(5100, 2)).state;
  const { commands } = run(promised, renew(5200, 2));
  t.notOk(isGranted(commands));
  t.match(commands[0], { reply: { promisedEpoch: 2 } });
  t.ok(isGranted(run(promised, renew(5200, 3)).commands));
  t.end();
});

t.test('an older epoch than the remembered one is refused', (t) => {
  const { commands } = run(ready, renew(5000, 2), renew(5001, 1));
  t.notOk(isGranted(commands));
  t.match(commands[0], { reply: { promisedEpoch: 1 } });
  t.end();
});

t.test('a promise reports the time left on the grant', (t) => {
  const promised = run(ready, renew(5000), promise(5600, 1));
  t.equal(remaining(promised.commands), W - 600);
  t.equal(remaining(run(promised.state, promise(9000, 1)).commands), 0);
  const newer = run(ready, renew(5000, 1), renew(5300, 2), promise(5600, 1));
  t.equal(remaining(newer.commands), W - 600, 'renewals of a later epoch do not prolong it');
  t.end();
});

t.test('a promise for an unknown server takes W once', (t) => {
  const promised = run(ready, promise(5000, 1));
  t.equal(remaining(promised.commands), W);
  t.equal(remaining(run(promised.state, promise(5500, 1)).commands), W - 500, 'asking again adds nothing');
  t.end();
});

t.test('a record of a lower epoch does not shorten a promise', (t) => {
  const { commands } = run(ready, renew(5000, 1), promise(9000, 3));
  t.equal(remaining(commands), W);
  t.end();
});

t.test('forgetting a server keeps its promise', (t) => {
  const { commands } = run(
    ready,
    renew(5000),
    { type: 'forget', serverId: 's', epoch: 1, nowMs: 9000 },
    renew(9001),
  );
  t.notOk(isGranted(commands));
  t.end();
});

t.test('a server that never renewed is suspected', (t) => {
  const watched = run(ready, { type: 'watch', serverId: 's', epoch: 1, nowMs: 5000 }).state;
  t.same(run(watched, { type: 'tick', nowMs: 5000 + W - 1 }).commands, []);
  const suspected = run(watched, { type: 'tick', nowMs: 5000 + W });
  t.same(suspected.commands, [{ type: 'suspect', serverId: 's', epoch: 1 }]);
  t.same(run(suspected.state, { type: 'tick', nowMs: 5000 + W + 399 }).commands, []);
  t.equal(run(suspected.state, { type: 'tick', nowMs: 5000 + W + 400 }).commands.length, 1, 'repeated');
  t.same(run(watched, promise(5001, 1), { type: 'tick', nowMs: 9000 }).commands, [], 'not after a promise');
  t.end();
});

t.test('a restarted witness does not suspect too early', (t) => {
  const watched = run(started, { type: 'watch', serverId: 's', epoch: 1, nowMs: 1 }).state;
  const woken = run(watched, { type: 'tick', nowMs: CONFIG.silentMs }).state;
  t.same(run(woken, { type: 'tick', nowMs: CONFIG.silentMs + W - 1 }).commands, []);
  t.equal(run(woken, { type: 'tick', nowMs: CONFIG.silentMs + W }).commands.length, 1);
  t.end();
});

t.test('a check confirms only silence of that epoch', (t) => {
  const known = run(ready, renew(5000)).state;
  const check = (nowMs: number, epoch: number): unknown =>
    run(known, { type: 'check', serverId: 's', epoch, nowMs }).commands[0];
  t.match(check(5000 + W - 1, 1), { silent: false });
  t.match(check(5000 + W, 1), { silent: true });
  t.match(check(5000 + W, 2), { silent: false });
  t.end();
});
