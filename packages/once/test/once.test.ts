import fc from 'fast-check';
import t from 'tap';
import { compareBody } from '#once/CompareBody.js';
import type { RecordedResponse } from '#once/RecordedResponse.js';
import type { IdempotencyDecision } from '#once/IdempotencyDecision.js';
import type { IdempotencyLimits } from '#once/IdempotencyLimits.js';
import { IdempotencyTable } from '#once/IdempotencyTable.js';

const SEED = Number(process.env.SEED ?? 20261204);
t.comment(`seed ${SEED}`);

const LIMITS: IdempotencyLimits = {
  horizonMs: 100,
  maxRecords: 1_000,
  maxBytes: 1e6,
  maxResponseLength: 1_000,
};
const RESPONSE: RecordedResponse = {
  bodyHash: 'aa',
  status: 200,
  contentType: 'text/plain',
  body: 'b2s=',
  complete: true,
};

function openTable(limits: Partial<IdempotencyLimits> = {}): IdempotencyTable {
  const table = new IdempotencyTable({ ...LIMITS, ...limits });
  table.openShard('s', 7);
  return table;
}

function codeOf(decision: IdempotencyDecision): string {
  return decision.kind === 'refuse' ? `${decision.error.code}/${decision.error.ran}` : decision.kind;
}

// Guards against running a request whose epoch does not prove that it has not run before.
t.test('epoch checks', (t) => {
  const table = openTable();
  const missing = table.admit('s', 'a', 'id', undefined, 0);
  t.match(missing, { kind: 'refuse', error: { status: 428, ran: 'not run', epoch: '7-0' } });
  t.equal(codeOf(table.admit('s', 'a', 'id', '7', 0)), 'epochMalformed/not run');
  t.equal(codeOf(table.admit('s', 'a', 'id', '6-0', 0)), 'unknownOutcome/unknown');
  t.equal(codeOf(table.admit('s', 'a', 'id', '8-0', 0)), 'epochOfFuture/not run');
  t.equal(codeOf(table.admit('s', 'a', 'id', '7-1', 0)), 'epochOfFuture/not run');
  t.equal(codeOf(table.admit('s', 'a', 'id', '7-0', 0)), 'run');
  t.equal(codeOf(table.admit('s', 'a', 'id', '7-0', 0)), 'repeat');
  t.equal(codeOf(table.admit('s', 'b', 'id', '7-0', 0)), 'run', 'each team has its own ids');
  t.equal(codeOf(table.admit('s', 'a', 'x'.repeat(256), '7-0', 0)), 'idMalformed/not run');
  t.end();
});

// Guards against a refusal with "not run" for an id that has run according to its record.
t.test('known id without epoch is a repeat', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'id', '7-0', 0);
  table.complete('s', 'a', 'id', RESPONSE);
  t.equal(codeOf(table.admit('s', 'a', 'id', undefined, 0)), 'repeat');
  t.equal(codeOf(table.admit('s', 'a', 'id', '1-0', 0)), 'repeat');
  t.end();
});

// Guards against a repeat that gets a different response than the original, or none.
t.test('repeat gets the recorded response', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'id', '7-0', 0);
  t.equal(table.lookUp('s', 'a', 'id').kind, 'running');
  table.complete('s', 'a', 'id', RESPONSE);
  t.match(table.lookUp('s', 'a', 'id'), { kind: 'answered', record: { status: 200, answer: 'b2s=' } });
  t.equal(
    table.complete('s', 'a', 'id', { ...RESPONSE, status: 500 }),
    undefined,
    'only the first response is recorded',
  );
  table.fail('s', 'a', 'id', 'not run');
  t.equal(table.lookUp('s', 'a', 'id').kind, 'answered', 'the record of a response is not removed');
  t.end();
});

// Guards against a truncated response that is replayed as a complete one.
t.test('long response is not recorded', (t) => {
  const table = openTable({ maxResponseLength: 3 });
  table.admit('s', 'a', 'id', '7-0', 0);
  table.complete('s', 'a', 'id', RESPONSE);
  t.match(table.lookUp('s', 'a', 'id'), { kind: 'unknown', error: { code: 'answerNotKept', ran: 'ran' } });
  t.end();
});

// Guards against an id that stays blocked after "not run" was proven, and against a second run after an unknown
// outcome.
t.test('failed attempts', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'one', '7-0', 0);
  table.fail('s', 'a', 'one', 'not run');
  t.equal(table.lookUp('s', 'a', 'one').kind, 'absent');
  t.equal(codeOf(table.admit('s', 'a', 'one', '7-0', 0)), 'run');
  table.fail('s', 'a', 'one', 'unknown');
  t.equal(codeOf(table.admit('s', 'a', 'one', '7-0', 0)), 'repeat');
  t.match(table.lookUp('s', 'a', 'one'), { kind: 'unknown', error: { ran: 'unknown' } });
  t.end();
});

// Guards against a different request under a used id, and against a comparison before both bodies were read.
t.test('body comparison', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'id', '7-0', 0);
  const started = table.admit('s', 'a', 'id', '7-0', 0);
  if (started.kind !== 'repeat') return t.fail('not a repeat');
  t.equal(compareBody(started.record, 'aa').kind, 'pending');
  table.setBodyHash('s', 'a', 'id', 'aa');
  const record = table.complete('s', 'a', 'id', { ...RESPONSE, bodyHash: '' });
  if (record === undefined) return t.fail('no record');
  t.equal(compareBody(record, 'aa').kind, 'same');
  t.match(compareBody(record, 'bb'), { kind: 'refuse', error: { status: 422, ran: 'not run' } });
  t.match(compareBody({ ...record, bodyHash: '' }, 'aa'), { error: { ran: 'unknown' } });
  t.end();
});

// Guards against records that are removed before a horizon has passed, and against memory that is never freed.
t.test('windows rotate', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'old', '7-0', 0);
  table.complete('s', 'a', 'old', RESPONSE);
  t.equal(codeOf(table.admit('s', 'a', 'new', '7-0', 150)), 'run');
  t.equal(table.currentEpoch('s'), '7-1');
  t.equal(codeOf(table.admit('s', 'a', 'old', '7-0', 199)), 'repeat');
  table.rotateWindows(250);
  t.equal(table.lookUp('s', 'a', 'old').kind, 'absent');
  t.equal(codeOf(table.admit('s', 'a', 'old', '7-0', 251)), 'unknownOutcome/unknown');
  t.end();
});

// Guards against a second run of a request that runs longer than two windows.
t.test('running id outlives its window', (t) => {
  const table = openTable();
  table.admit('s', 'a', 'long', '7-0', 0);
  for (const nowMs of [100, 200, 300, 400]) table.rotateWindows(nowMs);
  t.equal(codeOf(table.admit('s', 'a', 'long', '7-0', 400)), 'repeat');
  table.complete('s', 'a', 'long', RESPONSE);
  t.equal(table.lookUp('s', 'a', 'long').kind, 'answered', 'waiting repeats still get the response');
  for (const nowMs of [500, 600]) table.rotateWindows(nowMs);
  t.equal(table.size, 0);
  t.equal(table.bytes, 0);
  t.end();
});

// Guards against unbounded memory under a flood of ids, and against removing records of running requests to make room.
t.test('memory bound', (t) => {
  const table = openTable({ maxRecords: 10 });
  for (let index = 0; index < 200; index += 1) {
    t.equal(codeOf(table.admit('s', 'a', `id${index}`, table.currentEpoch('s'), 0)), 'run');
    table.complete('s', 'a', `id${index}`, RESPONSE);
  }
  t.ok(table.size <= 10);
  const full = openTable({ maxRecords: 10 });
  for (let index = 0; index < 10; index += 1) full.admit('s', 'a', `id${index}`, '7-0', 0);
  t.equal(codeOf(full.admit('s', 'a', 'eleventh', '7-0', 0)), 'onceTableFull/not run');
  t.equal(full.lookUp('s', 'a', 'id0').kind, 'running');
  t.end();
});

// Guards against records that are lost in a planned move, and against runs of ids whose records a takeover lost.
t.test('move and takeover', (t) => {
  const source = openTable();
  source.admit('s', 'a', 'done', '7-0', 0);
  source.complete('s', 'a', 'done', RESPONSE);
  source.admit('s', 'a', 'running', '7-0', 0);
  const target = new IdempotencyTable(LIMITS);
  target.adoptShard(source.closeShard('s'), 9);
  t.notOk(source.hasShard('s'));
  t.equal(target.lookUp('s', 'a', 'done').kind, 'answered');
  t.equal(target.lookUp('s', 'a', 'running').kind, 'unknown');
  t.equal(codeOf(target.admit('s', 'a', 'new', '7-0', 0)), 'run', 'no records were lost since this token');
  target.openShard('s', 9);
  t.equal(
    target.lookUp('s', 'a', 'done').kind,
    'answered',
    'opening again with the same token has no effect',
  );
  target.openShard('s', 12);
  t.equal(target.lookUp('s', 'a', 'new').kind, 'running', 'it still runs here');
  t.equal(codeOf(target.admit('s', 'a', 'done', '9-0', 0)), 'unknownOutcome/unknown');
  t.throws(() => target.adoptShard({ ...target.closeShard('s'), token: 20 }, 20), /does not follow/);
  t.end();
});

// Guards against an expired epoch that becomes valid again because a move resets the number of the window.
t.test('windows continue after a move', (t) => {
  const source = openTable();
  source.admit('s', 'a', 'old', '7-0', 0);
  source.complete('s', 'a', 'old', RESPONSE);
  for (const nowMs of [0, 100, 200]) source.rotateWindows(nowMs);
  const target = new IdempotencyTable(LIMITS);
  target.adoptShard(source.closeShard('s'), 9);
  t.equal(target.currentEpoch('s'), '9-2');
  t.equal(codeOf(target.admit('s', 'a', 'old', '7-0', 200)), 'unknownOutcome/unknown');
  t.end();
});

// Guards against any sequence of repeats, moves, takeovers and window rotations that runs a request twice (I8).
t.test('at most one run', (t) => {
  const step = fc.record({
    kind: fc.constantFrom('send', 'send', 'send', 'answer', 'notRun', 'lose', 'wait', 'move', 'takeover'),
    id: fc.nat(3),
  });
  const property = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    let table = openTable({ maxRecords: 3 });
    let token = 7;
    let nowMs = 0;
    const epochs = new Map<number, string>();
    const runs = new Map<number, number>();
    for (const { kind, id } of steps) {
      const name = String(id);
      const open = table.lookUp('s', 'a', name).kind === 'running';
      if (kind === 'wait') nowMs += 60;
      if (kind === 'answer') table.complete('s', 'a', name, RESPONSE);
      if (kind === 'lose') table.fail('s', 'a', name, 'unknown');
      if (kind === 'notRun' && open) {
        table.fail('s', 'a', name, 'not run');
        runs.set(id, 0);
        epochs.delete(id);
      }
      if (kind === 'move' || kind === 'takeover') {
        token += 1;
        const records = table.closeShard('s');
        table = new IdempotencyTable({ ...LIMITS, maxRecords: 3 });
        if (kind === 'move') table.adoptShard(records, token);
        else table.openShard('s', token);
      }
      if (kind !== 'send') continue;
      const epoch = epochs.get(id) ?? table.currentEpoch('s');
      epochs.set(id, epoch);
      if (table.admit('s', 'a', name, epoch, nowMs).kind === 'run') runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    return [...runs.values()].every((count) => count <= 1);
  });
  t.doesNotThrow(() => fc.assert(property, { seed: SEED, numRuns: 2_000 }));
  t.end();
});
