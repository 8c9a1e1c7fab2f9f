import t from 'tap';
import { advanceChart } from '#chart/AdvanceChart.js';
import { exchangeChart } from '#proxy/ExchangeChart.js';
import type { ExchangeEvent } from '#proxy/ExchangeEvent.js';

const LOST = { code: 'peerLost', step: 'forward', peer: 's1', ran: 'unknown', status: 502 } as const;
const REFUSED = { code: 'notOwner', step: 'route', peer: 's2', ran: 'not run', status: 503 } as const;

function play(...events: readonly ExchangeEvent[]): unknown {
  const context = { attempt: 0, lastFault: undefined, mayHaveRun: false };
  let step = { snapshot: { value: exchangeChart.initial, context }, commands: [] as readonly unknown[] };
  for (const event of events) step = advanceChart(exchangeChart, step.snapshot, event) as never;
  return step.commands[0];
}

// Guards against a fault: a request whose first attempt may have run was reported as "not run" when its retry was
// refused.
t.test('refusal after a lost attempt is not "not run"', (t) => {
  const events: readonly ExchangeEvent[] = [
    { type: 'accepted' },
    { type: 'broken', fields: LOST, retryDelayMs: 5 },
    { type: 'retryDue' },
  ];
  t.match(play(...events, { type: 'refused', fields: REFUSED }), {
    type: 'sendFailure',
    fields: { code: 'notOwner', ran: 'unknown' },
  });
  const second: ExchangeEvent = { type: 'refused', fields: REFUSED, retryDelayMs: 5 };
  t.match(play(...events, second, { type: 'deadline' }), { type: 'sendFailure', fields: { ran: 'unknown' } });
  t.end();
});

// Guards against reporting every refusal as an unknown outcome.
t.test('refusals alone stay "not run"', (t) => {
  const first: ExchangeEvent = { type: 'refused', fields: REFUSED, retryDelayMs: 5 };
  const last: ExchangeEvent = { type: 'refused', fields: REFUSED };
  t.match(play({ type: 'accepted' }, first, { type: 'retryDue' }, last), {
    type: 'sendRefusal',
    fields: { ran: 'not run' },
  });
  t.end();
});
