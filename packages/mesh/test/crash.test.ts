import t from 'tap';
import type { CrashMark } from '#admission/CrashMark.js';
import { Logger } from '#core/Logger.js';
import { CrashRecord } from '#mesh/CrashRecord.js';
import { createTestRequest } from './CreateTestRequest.js';

function start(): { readonly record: CrashRecord; readonly marks: CrashMark[] } {
  const marks: CrashMark[] = [];
  const record = new CrashRecord(new Logger('test'), (each) => marks.push(...each));
  return { record, marks };
}

t.test('request that crashed two servers is quarantined', (t) => {
  const { record, marks } = start();
  record.noteLoss(createTestRequest('1'), 0);
  record.noteCrash('a/1', 10);
  t.equal(record.isQuarantined(createTestRequest('2'), 20), false, 'a single crash may have another cause');
  record.noteLoss(createTestRequest('2'), 1_000);
  record.noteCrash('a/2', 1_010);
  t.equal(record.isQuarantined(createTestRequest('3'), 1_020), true, 'recognised under another id');
  t.equal(marks.length, 2);
  t.end();
});

t.test('marks of other daemons count', (t) => {
  const first = start();
  const second = start();
  first.record.noteLoss(createTestRequest('1'), 0);
  first.record.noteCrash('a/1', 10);
  second.record.noteLoss(createTestRequest('2'), 0);
  second.record.noteCrash('b/1', 10);
  second.record.merge(first.marks, 20);
  t.equal(second.record.isQuarantined(createTestRequest('3'), 30), true);
  t.end();
});

t.test('successful run clears a request', (t) => {
  const { record } = start();
  record.noteLoss(createTestRequest('1'), 0);
  record.noteCrash('a/1', 10);
  record.noteSuccess(createTestRequest('2'), 500);
  record.noteLoss(createTestRequest('3'), 1_000);
  record.noteCrash('a/2', 1_010);
  t.equal(record.isQuarantined(createTestRequest('4'), 1_020), false);
  t.end();
});

t.test('loss long before a crash is no suspect', (t) => {
  const { record, marks } = start();
  record.noteLoss(createTestRequest('1'), 0);
  record.noteCrash('a/1', 5_000);
  t.equal(marks.length, 0);
  t.end();
});
