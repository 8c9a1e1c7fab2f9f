import t from 'tap';
import { createPeerCalls } from '#mesh/CreatePeerCalls.js';
import { ownerLoadReportCodec } from '#mesh/OwnerLoadReportCodec.js';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { decodeBackendResult } from '#mesh/DecodeBackendResult.js';
import { leaseRecordCodec } from '#mesh/LeaseRecordCodec.js';
import { rangeTableCodec } from '#mesh/RangeTableCodec.js';
import { resignationCodec } from '#mesh/ResignationCodec.js';
import { serverEntryCodec } from '#mesh/ServerEntryCodec.js';
import { createEntry } from './CreateEntry.js';
import { createNested } from './CreateNested.js';
import { invalidCounts } from './InvalidCounts.js';

/** Length limit of the error message for a value that cannot be decoded. */
const MAX_MESSAGE = 200;

const MIB = 1024 * 1024;

interface Decoder {
  readonly decode: (value: unknown) => {
    readonly swap: () => { readonly orDefault: (text: string) => string };
  };
}

const record = {
  serverId: 'a',
  service: 's',
  processId: 'p',
  term: 1,
  incarnation: 'i/1',
  revoked: false,
  renewal: 1,
  workMsPerSecond: 1,
  slots: 4,
  accepts: true,
};

const facts = {
  serverId: 'a',
  workMsPerSecond: 0.5,
  slots: 4,
  waitMs: 0.5,
  baseSlowdown: 1,
  accepts: true,
};

const table = { service: 's', lastEpoch: 1, fences: 1, owners: [['a', 1, 'i/1']], rows: [[0, 0, 1]] };

const resignation = { serverId: 'a', term: 1, processId: 'p' };

const samples: readonly (readonly [name: string, decoder: Decoder, value: object])[] = [
  ['entry', serverEntryCodec, createEntry('a')],
  ['lease', leaseRecordCodec, record],
  ['load', ownerLoadReportCodec, facts],
  ['table', rangeTableCodec, table],
  ['resignation', resignationCodec, resignation],
];

/** Returns the error message of a decoder; empty if the value is valid. */
const explain = (decoder: Decoder, value: unknown): string => decoder.decode(value).swap().orDefault('');

/** Returns the message of the error that a call throws. */
function explainThrown(call: () => unknown): string {
  try {
    call();
  } catch (err) {
    return (err as Error).message;
  }
  throw new Error('the call did not throw');
}

t.test('valid values are decoded', (t) => {
  for (const [name, decoder, value] of samples) t.equal(explain(decoder, value), '', name);
  t.end();
});

t.test('entry with an invalid address is refused', (t) => {
  // Connecting to such an address throws, which ended each daemon that read the entry.
  for (const address of [
    '10.0.0.1:99999',
    '10.0.0.1:-1',
    '10.0.0.1:0',
    '10.0.0.1',
    '10.0.0.1:1e3',
    '10.0.0.256:1',
    'nowhere',
    'nowhere:1',
    ':1',
    '',
  ])
    t.match(explain(serverEntryCodec, createEntry('a', { address })), /^address: /, address);
  t.end();
});

t.test('invalid count is refused', (t) => {
  for (const odd of invalidCounts) {
    const text = String(odd);
    t.match(explain(serverEntryCodec, { ...createEntry('a'), slots: odd }), /^slots: /, text);
    t.match(explain(serverEntryCodec, { ...createEntry('a'), term: odd }), /^term: /, text);
    t.match(explain(leaseRecordCodec, { ...record, term: odd }), /^term: /, text);
    t.match(explain(resignationCodec, { ...resignation, term: odd }), /^term: /, text);
    t.match(explain(rangeTableCodec, { ...table, lastEpoch: odd }), /^lastEpoch: /, text);
    t.match(explain(rangeTableCodec, { ...table, rows: [[0, 0, odd]] }), /^rows: item 0: /, text);
    t.match(explain(rangeTableCodec, { ...table, owners: [['a', odd, 'i']] }), /^owners: item 0: /, text);
  }
  t.end();
});

t.test('invalid measure is refused', (t) => {
  for (const odd of invalidCounts.filter((each) => each !== 0.5)) {
    t.match(explain(ownerLoadReportCodec, { ...facts, waitMs: odd }), /^waitMs: /, String(odd));
    t.match(explain(leaseRecordCodec, { ...record, workMsPerSecond: odd }), /^work/, String(odd));
  }
  // It is used as a divisor.
  t.match(explain(ownerLoadReportCodec, { ...facts, baseSlowdown: 0 }), /^baseSlowdown: /);
  t.end();
});

t.test('row outside the key range is refused', (t) => {
  for (const row of [
    [65_536, 0, 1],
    [-1, 0, 1],
    [5, 1, 1],
  ])
    t.not(explain(rangeTableCodec, { ...table, rows: [[0, 0, 1], row] }), '', String(row));
  t.end();
});

t.test('error message for a huge or nested value is short', (t) => {
  // Formatting the value threw a RangeError in the task that had received it, or logged megabytes.
  const nested = createNested();
  const long = 'x'.repeat(MIB);
  const many = Array.from({ length: 100_000 }, () => [0, 0, 1]);
  for (const [name, decoder, value] of samples) {
    for (const field of Object.keys(value)) {
      for (const odd of [nested, long, many, { nested }, [[nested]]]) {
        const message = explain(decoder, { ...value, [field]: odd });
        t.ok(message.startsWith(`${field}: `) || name === 'table', `${name} ${field}`);
        t.ok(message.length < MAX_MESSAGE, `${name} ${field}: ${message.length} characters`);
      }
      const rest = Object.fromEntries(Object.entries(value).filter(([each]) => each !== field));
      t.ok(explain(decoder, { ...rest, nested, long }).length < MAX_MESSAGE, `${name} without ${field}`);
    }
    for (const odd of [nested, long, many]) t.ok(explain(decoder, odd).length < MAX_MESSAGE, name);
  }
  t.end();
});

t.test('unknown field is dropped however deeply it is nested', (t) => {
  const decoded = serverEntryCodec.decode({ ...createEntry('a'), later: createNested() }).unsafeCoerce();
  t.same(decoded, createEntry('a'));
  t.end();
});

t.test('malformed call of another daemon is refused', (t) => {
  const unused = (): never => t.fail('the handler was called') as never;
  const calls = createPeerCalls('p', {
    describePlanner: unused,
    describeLoad: unused,
    onResigned: unused,
    onCancel: unused,
    onRelease: unused,
    onQuota: () => Promise.resolve(undefined),
    onMarks: unused,
    readChanges: unused,
  });
  const release = { to: 'b', workMsPerSecond: 1, share: 0, speedup: 1 };
  const mark = { fingerprint: 'f', death: 'i/1', cleared: false };
  const nested = createNested();
  for (const [method, params] of [
    ['release', { ...release, workMsPerSecond: JSON.parse('1e400') as unknown }],
    ['release', { ...release, share: 2 }],
    ['release', { ...release, to: nested }],
    ['marks', { marks: [{ ...mark, fingerprint: nested }] }],
    ['changes', { positions: [{ collection: 'routes', revision: -1 }], waitMs: 1 }],
    ['changes', { positions: nested, waitMs: 1 }],
    ['changes', { positions: [], waitMs: JSON.parse('1e400') as unknown }],
    ['marks', { marks: Array.from({ length: 100_000 }, () => mark) }],
    ['cancel', { id: nested }],
    ['cancel', nested],
  ] as const)
    t.ok(explainThrown(() => calls[method]?.(params)).length < MAX_MESSAGE, method);
  t.end();
});

t.test('malformed request and result between daemons are refused', (t) => {
  const kind = ['GET', 'h', [], -1, 0, 's', '', 1, 0, 100];
  const detail = ['/', 5, 100, 100, '', []];
  const explainRequest = (index: number, odd: unknown, isKind: boolean): string => {
    const parts = isKind
      ? [kind.with(index, odd as never), detail]
      : [kind, detail.with(index, odd as never)];
    const [first, second] = parts.map((part) => JSON.stringify(part)) as [string, string];
    return decodeBackendRequest({ kind: first, detail: second }, Buffer.alloc(0), 0, () => 0)
      .swap()
      .orDefault('');
  };
  t.equal(explainRequest(0, 'GET', true), '');
  for (const [index, odd, isKind] of [
    [0, '', true],
    [3, 1e300, true],
    [8, -1, true],
    [9, 1e300, true],
    [1, 65_536, false],
    [1, 0.5, false],
    [2, 1e300, false],
    [3, null, false],
    [5, [5], false],
  ] as const)
    t.match(explainRequest(index, odd, isKind), /^item/, `${index} ${String(odd)}`);
  const refused = (retryAfterMs: unknown, load: unknown): unknown =>
    decodeBackendResult(
      { kind: '["refused","full",0]', detail: JSON.stringify([load, retryAfterMs]) },
      Buffer.alloc(0),
    ).isRight();
  t.equal(refused(5, [1, 2, 4]), true);
  t.equal(refused(1e300, [1, 2, 4]), false);
  t.equal(refused(5, [1, 2, -4]), false);
  t.equal(refused(5, [1, 2, null]), false);
  t.end();
});
