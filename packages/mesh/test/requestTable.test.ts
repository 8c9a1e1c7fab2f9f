import t from 'tap';
import { BackendRequestTable } from '#mesh/BackendRequestTable.js';
import type { BackendResult } from '#mesh/BackendResult.js';

const MIB = 1024 * 1024;

const createResult = (bytes: number): BackendResult => ({
  type: 'answered',
  response: { status: 200, headers: [], body: Buffer.alloc(bytes) },
  load: undefined,
});

const join = (table: BackendRequestTable, id: string): BackendResult | undefined => {
  let result: BackendResult | undefined;
  table.join(id, (each) => {
    result = each;
  });
  return result;
};

t.test('stored responses share a memory limit', (t) => {
  // Responses of several MiB were stored for eight seconds, whatever memory they took.
  const table = new BackendRequestTable();
  for (let index = 0; index < 10; index += 1) {
    table.open(String(index), () => undefined, index);
    table.close(String(index), createResult(8 * MIB), index);
  }
  const types = Array.from({ length: 10 }, (_, index) => join(table, String(index))?.type);
  t.same(types, [...Array.from({ length: 6 }, () => 'lost'), ...Array.from({ length: 4 }, () => 'answered')]);
  t.equal(table.has('0'), true, 'a request whose response was dropped does not run again');
  t.equal(table.wasRefused('0'), false);
  t.end();
});

t.test('expired responses free their memory', (t) => {
  const table = new BackendRequestTable();
  for (let index = 0; index < 10; index += 1) {
    const nowMs = index * 10_000;
    table.expire(nowMs);
    for (const id of [`${index}a`, `${index}b`, `${index}c`, `${index}d`]) {
      table.open(id, () => undefined, nowMs);
      table.close(id, createResult(8 * MIB), nowMs);
    }
    t.equal(join(table, `${index}a`)?.type, 'answered');
  }
  t.end();
});

t.test('waiting sender gets a response of any size', (t) => {
  const table = new BackendRequestTable();
  let result: BackendResult | undefined;
  table.open('1', (each) => (result = each), 0);
  table.close('1', createResult(40 * MIB), 0);
  t.equal(result?.type, 'answered');
  t.equal(join(table, '1')?.type, 'lost');
  t.end();
});

t.test('request is known when its copy is read long after', (t) => {
  // A daemon without processor time read the copy 8 s after the end of the request, and ran it once more.
  const table = new BackendRequestTable();
  table.open('1', () => undefined, 0);
  table.close('1', createResult(10), 100);
  table.expire(20_000);
  t.equal(table.has('1'), true);
  t.equal(table.wasRefused('1'), false);
  t.same(join(table, '1')?.type, 'lost', 'its response is no longer kept');
  table.expire(31_000);
  t.equal(table.has('1'), false);
  t.end();
});
