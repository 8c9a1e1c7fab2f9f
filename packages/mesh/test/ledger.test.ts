import t from 'tap';
import { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import type { BackendResult } from '#mesh/BackendResult.js';

const MIB = 1024 * 1024;

const answer = (bytes: number): BackendResult => ({
  type: 'answered',
  answer: { status: 200, headers: [], body: Buffer.alloc(bytes) },
  load: undefined,
});

const join = (ledger: BackendRequestTable, id: string): BackendResult | undefined => {
  let result: BackendResult | undefined;
  ledger.join(id, (each) => {
    result = each;
  });
  return result;
};

t.test('answers that are kept share a limit', (t) => {
  // Answers of several MiB were kept for eight seconds, whatever memory they took.
  const ledger = new BackendRequestTable();
  for (let index = 0; index < 10; index += 1) {
    ledger.open(String(index), () => undefined, index);
    ledger.close(String(index), answer(8 * MIB), index);
  }
  const types = Array.from({ length: 10 }, (_, index) => join(ledger, String(index))?.type);
  t.same(types, [...Array.from({ length: 6 }, () => 'lost'), ...Array.from({ length: 4 }, () => 'answered')]);
  t.equal(ledger.has('0'), true, 'an order whose answer is gone does not run again');
  t.equal(ledger.wasRefused('0'), false);
  t.end();
});

t.test('answers that expired leave room for others', (t) => {
  const ledger = new BackendRequestTable();
  for (let index = 0; index < 10; index += 1) {
    const nowMs = index * 10_000;
    ledger.expire(nowMs);
    for (const id of [`${index}a`, `${index}b`, `${index}c`, `${index}d`]) {
      ledger.open(id, () => undefined, nowMs);
      ledger.close(id, answer(8 * MIB), nowMs);
    }
    t.equal(join(ledger, `${index}a`)?.type, 'answered');
  }
  t.end();
});

t.test('waiting sender gets an answer of any size', (t) => {
  const ledger = new BackendRequestTable();
  let result: BackendResult | undefined;
  ledger.open('1', (each) => (result = each), 0);
  ledger.close('1', answer(40 * MIB), 0);
  t.equal(result?.type, 'answered');
  t.equal(join(ledger, '1')?.type, 'lost');
  t.end();
});
