import fc from 'fast-check';
import t from 'tap';
import { createActor, createMachine } from 'xstate';
import { advanceChart } from '#chart/AdvanceChart.js';
import { deliveryChart } from '#delivery/DeliveryChart.js';
import type { DeliveryEvent } from '#delivery/DeliveryEvent.js';
import type { DeliveryEvidence } from '#delivery/DeliveryEvidence.js';
import { DeliveryLedger } from '#delivery/DeliveryLedger.js';
import { deliveryRules } from '#delivery/DeliveryRules.js';
import { findOutcome } from '#delivery/FindOutcome.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import { ReceiptEvidence } from '#delivery/ReceiptEvidence.js';
import { ReceiptTable } from '#delivery/ReceiptTable.js';
import { SentEvidence } from '#delivery/SentEvidence.js';
import { startDelivery } from '#delivery/StartDelivery.js';
import file from '../charts/delivery.json' with { type: 'json' };

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const SENT: readonly DeliveryEvent[] = [
  { type: 'routed' },
  { type: 'head' },
  { type: 'chunk', bytes: 30 },
  { type: 'chunk', bytes: 12 },
  { type: 'written' },
];

function run(
  evidence: DeliveryEvidence,
  events: readonly DeliveryEvent[],
  repeatable = false,
): Outcome | undefined {
  let snapshot = startDelivery(evidence, 100, repeatable);
  for (const event of events) snapshot = advanceChart(deliveryChart, snapshot, event).snapshot;
  return findOutcome(snapshot);
}

function receipt(id: string, fields: Partial<PendingReceipt> = {}): PendingReceipt {
  return { id, team: 'a', class: 'c', expectedBytes: 42, deadlineMs: 1_000, ...fields };
}

// Guards against counting a response as delivered if it was sent after the deadline or to a closed socket.
t.test('evidence sent', (t) => {
  const evidence = new SentEvidence();
  t.equal(run(evidence, [...SENT, { type: 'flushed', nowMs: 100 }]), 'delivered');
  t.equal(run(evidence, [...SENT, { type: 'flushed', nowMs: 101 }]), 'late');
  t.equal(run(evidence, [...SENT, { type: 'callerGone' }]), 'abandoned');
  t.equal(run(evidence, SENT), undefined);
  t.end();
});

// Guards against counting a response as delivered if the caller did not confirm all of it in time.
t.test('evidence receipt', (t) => {
  const evidence = new ReceiptEvidence();
  const flushed: readonly DeliveryEvent[] = [...SENT, { type: 'flushed', nowMs: 50 }];
  t.equal(run(evidence, flushed), undefined);
  t.equal(run(evidence, [...flushed, { type: 'receipt', bytes: 42, nowMs: 60 }]), 'delivered');
  t.equal(run(evidence, [...flushed, { type: 'receipt', bytes: 42, nowMs: 101 }]), 'late');
  t.equal(run(evidence, [...flushed, { type: 'receipt', bytes: 41, nowMs: 60 }]), 'partial');
  t.equal(
    run(evidence, [...SENT, { type: 'receipt', bytes: 42, nowMs: 60 }]),
    'delivered',
    'receipt before flush',
  );
  t.equal(run(evidence, [...flushed, { type: 'callerGone' }, { type: 'timedOut' }]), 'sentUnconfirmed');
  t.end();
});

// Guards against the outcome `failed`, after which callers may try again, for a non-repeatable request that may have
// run.
t.test('lost backend server', (t) => {
  const evidence = new SentEvidence();
  t.equal(run(evidence, [{ type: 'backendLost' }]), 'failed');
  t.equal(run(evidence, [{ type: 'routed' }, { type: 'backendLost' }]), 'unknown');
  t.equal(run(evidence, [{ type: 'routed' }, { type: 'timedOut' }]), 'unknown');
  t.equal(run(evidence, [{ type: 'routed' }, { type: 'backendLost' }], true), 'failed');
  t.equal(run(evidence, [{ type: 'routed' }, { type: 'head' }, { type: 'backendLost' }]), 'partial');
  t.equal(run(evidence, [{ type: 'refused' }]), 'refused');
  t.end();
});

// Guards against a chart file that the interpreter understands differently from xstate, and against second outcomes.
t.test('chart agrees with xstate', (t) => {
  const event: fc.Arbitrary<DeliveryEvent> = fc.oneof(
    fc.record({
      type: fc.constantFrom(
        ...(['routed', 'head', 'written', 'backendLost', 'timedOut', 'callerGone'] as const),
      ),
    }),
    fc.record({ type: fc.constant('chunk' as const), bytes: fc.constant(21) }),
    fc.record({ type: fc.constant('flushed' as const), nowMs: fc.constantFrom(50, 150) }),
    fc.record({
      type: fc.constant('receipt' as const),
      bytes: fc.constantFrom(21, 42),
      nowMs: fc.constantFrom(50, 150),
    }),
  );
  const property = fc.property(fc.array(event, { maxLength: 12 }), fc.boolean(), (events, byReceipt) => {
    let snapshot = startDelivery(byReceipt ? new ReceiptEvidence() : new SentEvidence(), 100, false);
    let outcome: Outcome | undefined;
    let current: DeliveryEvent = { type: 'routed' };
    const guards = Object.entries(deliveryRules.guards).map(
      ([name, guard]) => [name, () => guard(snapshot.context, current)] as const,
    );
    const machine = createMachine(file as never).provide({
      guards: Object.fromEntries(guards),
      actions: { noteRouted: () => undefined, countBytes: () => undefined },
    });
    const actor = createActor(machine).start();
    for (current of events) {
      actor.send(current);
      snapshot = advanceChart(deliveryChart, snapshot, current).snapshot;
      if (snapshot.value !== actor.getSnapshot().value) return false;
      if (outcome !== undefined && findOutcome(snapshot) !== outcome) return false;
      outcome = findOutcome(snapshot);
    }
    return true;
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 500 }));
  t.end();
});

// Guards against requests that are missing from the counts or counted twice.
t.test('ledger reconciles', (t) => {
  const ledger = new DeliveryLedger();
  for (let index = 0; index < 5; index += 1) ledger.countArrival('a', 'c');
  ledger.countOutcome('a', 'c', 'delivered');
  ledger.countOutcome('a', 'c', 'refused');
  ledger.countOutcome('a', 'c', 'unknown');
  const key = DeliveryLedger.rowKey('a', 'c');
  t.match(ledger.counts(), [{ received: 5, admitted: 4, inFlight: 2, outcomes: { refused: 1 } }]);
  t.same(ledger.reconcile(new Map([[key, 2]])), []);
  t.same(ledger.reconcile(new Map([[key, 1]])), [{ team: 'a', class: 'c', counted: 2, actual: 1 }]);
  for (const outcome of ['late', 'late', 'late'] as const) ledger.countOutcome('a', 'c', outcome);
  t.same(ledger.reconcile(), [{ team: 'a', class: 'c', counted: -1, actual: 0 }]);
  t.end();
});

// Guards against counting as delivered the receipts of another team, of a truncated response, repeated or late ones.
t.test('receipts', (t) => {
  const table = new ReceiptTable(100, 500);
  for (const id of ['good', 'short', 'late', 'never']) table.expect(receipt(id));
  t.match(table.confirm('good', 'b', 42, 10), { kind: 'refused', error: { status: 404 } });
  t.match(table.confirm('none', 'a', 42, 10), { kind: 'refused', error: { status: 404 } });
  t.match(table.confirm('good', 'a', 42, 10), { kind: 'counted', outcome: 'delivered' });
  t.match(table.confirm('good', 'a', 41, 10), { kind: 'repeated', outcome: 'delivered' });
  t.match(table.confirm('good', 'b', 42, 10), { kind: 'refused' });
  t.match(table.confirm('short', 'a', 41, 10), { kind: 'counted', outcome: 'partial' });
  t.match(table.confirm('late', 'a', 42, 1_200), { kind: 'counted', outcome: 'late' });
  t.same(table.expire(1_500), [], 'still within the grace time');
  t.match(table.expire(1_700), [{ id: 'never' }]);
  t.match(table.confirm('never', 'a', 42, 1_700), { kind: 'repeated', outcome: 'sentUnconfirmed' });
  t.equal(table.size, 0);
  t.end();
});

// Guards against unbounded memory from callers that never confirm, and against receipts that are not counted once.

t.test('receipts are bounded and counted once', (t) => {
  const step = fc.record({
    kind: fc.constantFrom('confirm', 'expire', 'expect', 'expect'),
    id: fc.nat(30),
    nowMs: fc.nat(2_000),
  });
  const property = fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
    const table = new ReceiptTable(5, 100);
    const counted: string[] = [];
    const expected = new Set<string>();
    for (const { kind, id, nowMs } of steps) {
      const name = String(id);
      if (kind === 'expect' && !expected.has(name)) {
        expected.add(name);
        counted.push(...table.expect(receipt(name)).map((dropped) => dropped.id));
      }
      if (kind === 'expire') counted.push(...table.expire(nowMs).map((expired) => expired.id));
      if (kind === 'confirm' && table.confirm(name, 'a', 42, nowMs).kind === 'counted') counted.push(name);
      if (table.size > 5) return false;
    }
    counted.push(...table.expire(10_000).map((expired) => expired.id));
    return counted.length === expected.size && new Set(counted).size === counted.length;
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 1_000 }));
  t.end();
});
