import t from 'tap';
import { createHolderState } from '#lease/CreateHolderState.js';
import { createLeaseConfig } from '#lease/CreateLeaseConfig.js';
import type { HolderCommand } from '#lease/HolderCommand.js';
import type { HolderEvent } from '#lease/HolderEvent.js';
import type { HolderState } from '#lease/HolderState.js';
import { isLeaseValid } from '#lease/IsLeaseValid.js';
import type { RenewRequest } from '#lease/RenewRequest.js';
import { stepHolder } from '#lease/StepHolder.js';

const CONFIG = createLeaseConfig({ leaseMs: 1500, renewEveryMs: 400, clockDrift: 0.01 });
const WITNESSES = ['a', 'b', 'c'];

interface Run {
  readonly state: HolderState;
  readonly commands: readonly HolderCommand[];
}

function run(state: HolderState, ...events: readonly HolderEvent[]): Run {
  let commands: readonly HolderCommand[] = [];
  for (const event of events) ({ state, commands } = stepHolder(state, event, CONFIG));
  return { state, commands };
}

function reply(witness: string, sentAtMs: number, nowMs: number, granted = true, epoch = 1): HolderEvent {
  return { type: 'renewReply', witness, epoch, sentAtMs, granted, nonce: 'n', promisedEpoch: 0, nowMs };
}

const registered: HolderEvent = {
  type: 'registered',
  epoch: 1,
  witnesses: WITNESSES,
  startedMs: 0,
  nowMs: 10,
};
const held = run(
  createHolderState('s'),
  { type: 'registering', startedMs: 0 },
  registered,
  reply('a', 10, 12),
  reply('b', 10, 12),
).state;

function requests(commands: readonly HolderCommand[]): readonly RenewRequest[] {
  return commands.flatMap((command) => (command.type === 'sendRenew' ? [command.request] : []));
}

function reasons(commands: readonly HolderCommand[]): readonly string[] {
  return commands.flatMap((command) => (command.type === 'reRegister' ? [command.reason] : []));
}

t.test('one grant is no lease', (t) => {
  const { state } = run(createHolderState('s'), registered, reply('a', 10, 12));
  t.notOk(isLeaseValid(state, 12));
  t.end();
});

t.test('lease counts from the send time of the majority', (t) => {
  t.ok(isLeaseValid(held, 1509));
  t.notOk(isLeaseValid(held, 1510));
  const late = run(held, { type: 'tick', nowMs: 410 }, reply('a', 410, 1400), reply('c', 300, 1400)).state;
  t.equal(late.context.leaseEndMs, 1800, 'second newest send time, not the time of the reply');
  t.end();
});

t.test('a reply for another epoch extends nothing', (t) => {
  const { state } = run(held, reply('a', 900, 901, true, 2), reply('b', 900, 901, true, 2));
  t.equal(state.context.leaseEndMs, 1510);
  t.end();
});

t.test('renewals after an undecided write do not count', (t) => {
  const undecided = run(
    held,
    { type: 'registering', startedMs: 500 },
    reply('a', 600, 601),
    reply('b', 600, 601),
  );
  t.equal(undecided.state.context.leaseEndMs, 1510);
  const again = run(
    undecided.state,
    { type: 'registering', startedMs: 900 },
    { ...registered, epoch: 2 },
  ).state;
  t.equal(again.context.startedMs, 0);
  t.equal(again.context.epoch, 2);
  const refused = run(undecided.state, { type: 'registrationRefused', nowMs: 700 });
  const extended = run(refused.state, reply('a', 710, 711), reply('b', 710, 711)).state;
  t.equal(extended.context.leaseEndMs, 2210);
  t.end();
});

t.test('old lease lasts to its end under the new epoch', (t) => {
  const { state, commands } = run(
    held,
    { type: 'registering', startedMs: 500 },
    { ...registered, epoch: 2, witnesses: ['a', 'd', 'e'], startedMs: 500, nowMs: 505 },
  );
  t.ok(isLeaseValid(state, 1509));
  t.same(commands[0], { type: 'leaseChanged', epoch: 2, leaseEndMs: 1510 });
  const mixed = run(state, reply('a', 506, 507, true, 2)).state;
  t.equal(mixed.context.leaseEndMs, 1510, 'grants of the old epoch do not count for the new set');
  t.end();
});

t.test('expired holder sends discontinuous renewals', (t) => {
  const { state, commands } = run(held, { type: 'tick', nowMs: 1600 });
  t.equal(state.value, 'expired');
  t.same(
    requests(commands).map(({ continuous }) => continuous),
    [false, false, false],
  );
  const back = run(state, reply('a', 1600, 1601), reply('b', 1600, 1601)).state;
  t.ok(isLeaseValid(back, 1601), 'witnesses that remember renew without the store');
  t.equal(back.value, 'held');
  t.end();
});

t.test('expired holder that is forgotten needs a new epoch', (t) => {
  const expired = run(
    held,
    { type: 'tick', nowMs: 1600 },
    reply('a', 1600, 1601, false),
    reply('c', 1600, 1601),
  ).state;
  t.same(reasons(run(expired, { type: 'tick', nowMs: 2000 }).commands), []);
  const forgotten = run(expired, reply('b', 1600, 1601, false), { type: 'tick', nowMs: 2000 });
  t.same(reasons(forgotten.commands), ['expired']);
  t.end();
});

t.test('renewal is resent at once with a changed nonce', (t) => {
  const { commands } = run(held, { type: 'tick', nowMs: 410 }, {
    ...reply('a', 410, 412, false),
    nonce: 'm',
  } as HolderEvent);
  t.same(commands, [
    {
      type: 'sendRenew',
      witness: 'a',
      request: { serverId: 's', epoch: 1, sentAtMs: 412, continuous: true, nonce: 'm' },
    },
  ]);
  t.end();
});

t.test('two unanswered renewals replace the witness', (t) => {
  const replies = (sentAtMs: number): readonly HolderEvent[] => [
    reply('a', sentAtMs, sentAtMs),
    reply('b', sentAtMs, sentAtMs),
  ];
  const once = run(held, { type: 'tick', nowMs: 410 }, ...replies(410));
  t.same(reasons(once.commands), []);
  const twice = run(once.state, { type: 'tick', nowMs: 810 });
  t.same(twice.commands.at(-1), { type: 'reRegister', reason: 'witnessSilent', silentWitnesses: ['c'] });
  const writing = run(twice.state, { type: 'registering', startedMs: 811 }, { type: 'tick', nowMs: 1210 });
  t.same(reasons(writing.commands), [], 'not repeated while the write is open');
  t.end();
});

t.test('a promise ends renewal but not the lease', (t) => {
  const { state, commands } = run(held, {
    ...reply('a', 10, 20, false),
    promisedEpoch: 1,
  } as HolderEvent);
  t.equal(state.value, 'superseded');
  t.same(reasons(commands), ['superseded']);
  t.ok(isLeaseValid(state, 1509));
  t.same(requests(run(state, { type: 'tick', nowMs: 500 }).commands), []);
  t.end();
});
