import t from 'tap';
import { createActor, createMachine } from 'xstate';
import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartFile } from '#chart/ChartFile.js';
import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import { compileChart } from '#chart/CompileChart.js';

interface Coin {
  readonly type: 'coin' | 'push';
  readonly value: number;
}

const FILE: ChartFile = {
  id: 'turnstile',
  initial: 'locked',
  states: {
    locked: {
      on: { coin: [{ guard: 'enough', target: 'open', actions: ['count'] }, { actions: ['count'] }] },
    },
    open: { entry: ['announce'], on: { push: { target: 'locked' } } },
  },
};

const RULES: ChartRules<number, Coin, string> = {
  guards: { enough: (_, event) => event.value >= 5 },
  actions: {
    count: (context) => ({ context: context + 1, commands: ['counted'] }),
    announce: (context) => ({ context, commands: ['opened'] }),
  },
};

t.test('missing names stop compilation', (t) => {
  const broken: ChartFile = {
    ...FILE,
    states: { ...FILE.states, locked: { on: { coin: { guard: 'gone' } } } },
  };
  t.throws(
    () => compileChart('turnstile.json', broken, RULES),
    /turnstile\.json: guard "gone" does not exist/,
  );
  t.throws(() => compileChart('turnstile.json', { ...FILE, initial: 'x' }, RULES), /state "x"/);
  t.end();
});

t.test('agrees with xstate', (t) => {
  const chart = compileChart('turnstile.json', FILE, RULES);
  const machine = createMachine(FILE as never).provide({
    guards: { enough: ({ event }: { event: Coin }) => event.value >= 5 },
    actions: { count: () => undefined, announce: () => undefined },
  } as never);
  const actor = createActor(machine).start();
  let snapshot: ChartSnapshot<number> = { value: chart.initial, context: 0 };
  const events: readonly Coin[] = [
    { type: 'coin', value: 1 },
    { type: 'push', value: 0 },
    { type: 'coin', value: 5 },
    { type: 'push', value: 0 },
  ];
  for (const event of events) {
    snapshot = advanceChart(chart, snapshot, event).snapshot;
    actor.send(event);
    t.equal(snapshot.value, actor.getSnapshot().value);
  }
  t.equal(snapshot.context, 2);
  t.end();
});
