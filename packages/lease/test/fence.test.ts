import t from 'tap';
import { createFenceState } from '#lease/CreateFenceState.js';
import { createLeaseConfig } from '#lease/CreateLeaseConfig.js';
import type { FenceCommand } from '#lease/FenceCommand.js';
import type { FenceEvent } from '#lease/FenceEvent.js';
import type { FenceState } from '#lease/FenceState.js';
import { stepFence } from '#lease/StepFence.js';

const CONFIG = createLeaseConfig({ leaseMs: 1500, renewEveryMs: 400, clockDrift: 0.01 });
const FENCE = { id: 7, serverId: 's', epoch: 2, witnesses: ['a', 'b', 'c'], graceMs: 0 };

function run(
  state: FenceState,
  ...events: readonly FenceEvent[]
): { readonly state: FenceState; readonly commands: readonly FenceCommand[] } {
  let commands: readonly FenceCommand[] = [];
  for (const event of events) ({ state, commands } = stepFence(state, event, CONFIG));
  return { state, commands };
}

function reply(witness: string, sentAtMs: number, remainingMs: number, nowMs: number, epoch = 2): FenceEvent {
  return { type: 'promiseReply', witness, epoch, sentAtMs, promised: true, remainingMs, nowMs };
}

const tick = (nowMs: number): FenceEvent => ({ type: 'tick', nowMs });
const begun = run(createFenceState(), { type: 'begin', fence: FENCE, nowMs: 0 });

t.test('asks every witness', (t) => {
  t.same(
    begun.commands.map((command) => (command.type === 'sendPromise' ? command.witness : '')),
    ['a', 'b', 'c'],
  );
  t.end();
});

t.test('one promise is not enough', (t) => {
  t.equal(run(begun.state, reply('a', 0, 0, 5), reply('a', 0, 0, 6), tick(100)).state.value, 'collecting');
  const second = run(begun.state, reply('a', 0, 0, 5), reply('b', 0, 0, 6));
  t.same(second.commands, [{ type: 'satisfied', fenceId: 7 }]);
  t.equal(second.state.value, 'satisfied');
  t.end();
});

t.test('waits for the reported expiry and the grace time', (t) => {
  const promised = run(begun.state, reply('a', 0, 1000, 5), reply('b', 0, 200, 6)).state;
  t.equal(run(promised, tick(1004)).state.value, 'collecting');
  t.equal(run(promised, tick(1005)).state.value, 'satisfied');
  const fence = { ...FENCE, graceMs: 100 };
  const slow = run(
    createFenceState(),
    { type: 'begin', fence, nowMs: 0 },
    reply('a', 0, 1000, 5),
    reply('b', 0, 200, 6),
  ).state;
  t.equal(run(slow, tick(1105)).state.value, 'collecting', 'the grace time includes the clock drift');
  t.equal(run(slow, tick(1106)).state.value, 'satisfied');
  t.end();
});

t.test('a promise ages from the send time of its request', (t) => {
  const late = run(begun.state, reply('a', 0, 0, 3000), reply('b', 0, 0, 3031));
  t.equal(late.state.value, 'collecting');
  const asked = run(late.state, tick(3031));
  t.equal(asked.commands.length, 3, 'asks again');
  t.equal(run(asked.state, reply('a', 3031, 0, 3040), reply('b', 3031, 0, 3041)).state.value, 'satisfied');
  t.end();
});

t.test('a reply to another fence is not counted', (t) => {
  t.equal(run(begun.state, reply('a', 0, 0, 5, 1), reply('b', 0, 0, 6, 1)).state.value, 'collecting');
  t.equal(run(begun.state, reply('a', -9, 0, 5), reply('b', -9, 0, 6)).state.value, 'collecting');
  t.end();
});

t.test('a witness confirmed as lost counts after Q', (t) => {
  const lost = run(begun.state, { type: 'confirmedLost', serverId: 'c', nowMs: 100 }, reply('a', 0, 0, 110));
  const ask = run(lost.state, tick(CONFIG.silentMs), reply('a', CONFIG.silentMs, 0, CONFIG.silentMs));
  t.equal(run(ask.state, tick(CONFIG.silentMs + 99)).state.value, 'collecting');
  t.equal(run(ask.state, tick(CONFIG.silentMs + 100)).state.value, 'satisfied');
  t.end();
});

t.test('a fence without witnesses waits W', (t) => {
  const fence = { ...FENCE, witnesses: [], graceMs: 100 };
  const { state } = run(createFenceState(), { type: 'begin', fence, nowMs: 0 });
  t.equal(run(state, tick(1515 + 100)).state.value, 'collecting');
  t.equal(run(state, tick(1515 + 101)).state.value, 'satisfied');
  t.end();
});
