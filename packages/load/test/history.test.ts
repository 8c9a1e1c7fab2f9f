import t from 'tap';
import { checkHistory } from '#load/CheckHistory.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import { HistoryRecorder } from '#load/HistoryRecorder.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import type { ResponseEvent } from '#load/ResponseEvent.js';
import type { SendEvent } from '#load/SendEvent.js';

const send = (requestId: string, attempt = 1, atMs = 0): SendEvent => ({
  type: 'send',
  requestId,
  attempt,
  team: 'agents',
  repeatable: false,
  atMs,
});
const respond = (requestId: string, changes: Partial<ResponseEvent> = {}): ResponseEvent => ({
  type: 'response',
  requestId,
  attempt: 1,
  team: 'agents',
  status: 200,
  ran: 'ran',
  isContentRight: true,
  atMs: 90,
  ...changes,
});
const execution = (requestId: string, changes: Partial<ExecutionEvent> = {}): ExecutionEvent => ({
  type: 'order',
  requestId,
  team: 'agents',
  key: 'k',
  idempotencyKey: requestId,
  serverId: 's1',
  token: 3,
  startMs: 10,
  endMs: 20,
  ...changes,
});
const rulesOf = (...events: readonly HistoryEvent[]): readonly string[] =>
  checkHistory(events).map((violation) => violation.rule);
const ranTogether = (first: Partial<ExecutionEvent>, second: Partial<ExecutionEvent>): readonly string[] =>
  rulesOf(send('a'), send('b'), execution('a', first), execution('b', second));

t.test('a good history breaks no rule', (t) => {
  const events = [
    send('a'),
    respond('a', { status: 428, ran: 'not run' }),
    send('a', 2, 8),
    execution('a'),
    respond('a', { attempt: 2 }),
    send('b'),
    execution('b', { startMs: 12, endMs: 25 }),
    respond('b'),
    send('c'),
    execution('c', { serverId: 's2', token: 4, startMs: 25, endMs: 30 }),
    respond('c'),
  ];
  t.same(checkHistory(events), []);
  t.end();
});

t.test('two servers that run requests of one key at once are found', (t) => {
  t.same(ranTogether({}, { serverId: 's2', token: 4, startMs: 15, endMs: 30 }), ['twoOwners']);
  t.same(ranTogether({ endMs: Infinity }, { serverId: 's2', token: 4, startMs: 99, endMs: 100 }), [
    'twoOwners',
  ]);
  t.same(ranTogether({}, { serverId: 's1', startMs: 15, endMs: 30 }), []);
  t.same(ranTogether({}, { serverId: 's2', token: 9, key: 'other', startMs: 15, endMs: 30 }), []);
  t.end();
});

t.test('an overlap with an earlier, longer execution is found', (t) => {
  const long = execution('a', { startMs: 0, endMs: 100 });
  const short = execution('b', { startMs: 10, endMs: 20 });
  const other = execution('c', { serverId: 's2', token: 4, startMs: 50, endMs: 60 });
  t.same(rulesOf(send('a'), send('b'), send('c'), long, short, other), ['twoOwners']);
  t.end();
});

t.test('an execution under an old token is found', (t) => {
  t.same(ranTogether({ token: 4 }, { token: 3, startMs: 20, endMs: 30 }), ['staleToken']);
  t.same(ranTogether({ token: 4 }, { token: 5, startMs: 20, endMs: 30 }), []);
  t.end();
});

t.test('two servers with one token are found', (t) => {
  t.same(ranTogether({}, { serverId: 's2', startMs: 20, endMs: 30 }), ['sharedToken']);
  t.same(ranTogether({}, { serverId: 's2', token: 4, startMs: 20, endMs: 30 }), []);
  t.end();
});

t.test('an id that runs twice is found', (t) => {
  t.same(rulesOf(send('a'), execution('a'), execution('a', { startMs: 30, endMs: 40 })), ['ranTwice']);
  const repeatable = { idempotencyKey: '' };
  t.same(
    rulesOf(send('a'), execution('a', repeatable), execution('a', { ...repeatable, startMs: 30, endMs: 40 })),
    [],
  );
  t.same(rulesOf(send('a'), execution('a'), execution('a', { team: 'other', startMs: 30, endMs: 40 })), []);
  t.end();
});

t.test('a refused request that ran is found', (t) => {
  const refusal = respond('a', { status: 503, ran: 'not run' });
  t.same(rulesOf(send('a'), refusal, execution('a')), ['refusedButRan']);
  t.same(rulesOf(send('a'), refusal, execution('a'), send('a', 2, 50)), ['refusedButRan']);
  t.same(rulesOf(send('a'), refusal, send('a', 2, 5), execution('a')), []);
  t.same(rulesOf(send('a'), respond('a', { status: 502, ran: 'unknown' }), execution('a')), []);
  t.end();
});

t.test('a response to the wrong caller is found', (t) => {
  t.same(rulesOf(send('a'), respond('a', { team: 'rivals' })), ['foreignResponse']);
  t.same(rulesOf(respond('a')), ['foreignResponse']);
  t.same(rulesOf(send('a'), respond('a')), []);
  t.end();
});

t.test('a response with unexpected content is found', (t) => {
  t.same(rulesOf(send('a'), respond('a', { isContentRight: false })), ['wrongContent']);
  t.end();
});

t.test('a second response to one attempt is found', (t) => {
  t.same(rulesOf(send('a'), respond('a'), respond('a')), ['doubleResponse']);
  t.same(rulesOf(send('a'), respond('a'), send('a', 2), respond('a', { attempt: 2 })), []);
  t.end();
});

t.test('a full recorder does not drop events silently', (t) => {
  const recorder = new HistoryRecorder(1);
  recorder.record(send('a'));
  t.throws(() => recorder.record(send('b')), /more than 1 events/);
  t.equal(recorder.list().length, 1);
  t.end();
});
