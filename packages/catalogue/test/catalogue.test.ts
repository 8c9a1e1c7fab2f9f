import t from 'tap';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { checkChange } from '#catalogue/CheckChange.js';
import { decodeCatalogue } from '#catalogue/DecodeCatalogue.js';
import { diffCatalogues } from '#catalogue/DiffCatalogues.js';
import type { Entry } from '#catalogue/Entry.js';
import type { EntryLimits } from '#catalogue/EntryLimits.js';
import { findEntry } from '#catalogue/FindEntry.js';
import { formatFault } from '#catalogue/FormatFault.js';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';

const LIMITS: EntryLimits = {
  ratePerSecond: 100,
  burst: 20,
  concurrency: 30,
  share: 1,
  priority: 5,
  defaultDeadlineMs: 500,
  maxDeadlineMs: 2000,
  maxBodyBytes: 4096,
  interRegionBytesPerSecond: 0,
};

const createEntry = (changes: Partial<Entry> = {}, limits: Partial<EntryLimits> = {}): Entry => ({
  owner: 'alpha',
  service: 'badges',
  class: 'badgeCheck',
  repeatable: true,
  evidence: 'sent',
  homeRegions: [],
  ...changes,
  limits: { ...LIMITS, ...limits },
});

const createCatalogue = (entries: readonly Entry[], changes: Partial<Catalogue> = {}): Catalogue => ({
  regions: ['nairobi', 'mombasa'],
  services: [
    { name: 'badges', keyed: true, cells: 1, orderGraceMs: 0 },
    { name: 'levies', keyed: false, cells: 1, orderGraceMs: 0 },
  ],
  owners: [
    { name: 'operators', tokenHashes: ['a'.repeat(64)], operator: true },
    { name: 'alpha', tokenHashes: ['b'.repeat(64)], operator: false },
    { name: 'beta', tokenHashes: [], operator: false },
  ],
  entries,
  ...changes,
});

const parseFaults = (catalogue: Catalogue): string =>
  parseCatalogue(JSON.stringify(catalogue), 'c.jsonc').swap().orDefault([]).map(formatFault).join('\n');

t.test('valid catalogue and defaults', (t) => {
  const text = JSON.stringify(createCatalogue([createEntry()])).replace('"share":1,', '');
  t.same(parseCatalogue(text, 'c.jsonc').unsafeCoerce(), createCatalogue([createEntry()]));
  t.end();
});

t.test('faults have line, column and path', (t) => {
  const text = JSON.stringify(createCatalogue([createEntry({}, { priority: 10 })]), null, 2);
  const line = text.split('\n').findIndex((each) => each.includes('"priority"')) + 1;
  t.match(parseCatalogue(text, 'c.jsonc').swap().orDefault([]), [
    { file: 'c.jsonc', line, column: 21, path: 'entries[0].limits.priority', message: 'must be <= 9' },
  ]);
  t.end();
});

t.test('unknown names', (t) => {
  const faults = parseFaults(
    createCatalogue([createEntry({ owner: 'x', service: 'y', homeRegions: ['z'] })]),
  );
  t.match(faults, /entries\[0\].owner: owner "x" is not defined/);
  t.match(faults, /entries\[0\].service: service "y" is not defined/);
  t.match(faults, /entries\[0\].homeRegions\[0\]: region "z" is not defined/);
  t.end();
});

t.test('duplicates', (t) => {
  t.match(
    parseFaults(createCatalogue([createEntry(), createEntry()])),
    /"alpha\/badges\/badgeCheck" is defined twice/,
  );
  const service = { name: 'badges', keyed: true, cells: 1, orderGraceMs: 0 };
  t.match(parseFaults(createCatalogue([], { services: [service, service] })), /services\[1\]: "badges" is/);
  t.match(parseFaults(createCatalogue([], { regions: ['a', 'a'] })), /regions: items 0 and 1 are equal/);
  t.end();
});

t.test('limits that contradict each other', (t) => {
  const faultsOf = (limits: Partial<EntryLimits>, changes: Partial<Entry> = {}): string =>
    parseFaults(createCatalogue([createEntry(changes, limits)]));
  t.match(faultsOf({ defaultDeadlineMs: 3000 }), /defaultDeadlineMs: is above maxDeadlineMs/);
  t.match(faultsOf({ defaultDeadlineMs: 49 }, { evidence: 'receipt' }), /too short for evidence "receipt"/);
  t.match(faultsOf({ concurrency: 221 }), /concurrency: cannot be reached: .* at most 220 requests/);
  t.match(faultsOf({ ratePerSecond: 50_000, concurrency: 49 }), /concurrency: is too low .* at least 50/);
  t.match(faultsOf({ interRegionBytesPerSecond: 1000 }), /lets 2000 B pass .* less than maxBodyBytes/);
  t.match(faultsOf({ interRegionBytesPerSecond: 9000 }, { homeRegions: ['nairobi'] }), /has no effect/);
  t.equal(faultsOf({ concurrency: 220, defaultDeadlineMs: 50 }, { evidence: 'receipt' }), '');
  t.end();
});

t.test('key with two owning servers', (t) => {
  const bound = { class: 'other', homeRegions: ['nairobi'] };
  t.match(parseFaults(createCatalogue([createEntry(), createEntry(bound)])), /would have two owning servers/);
  t.equal(parseFaults(createCatalogue([createEntry(), createEntry({ ...bound, owner: 'beta' })])), '');
  t.equal(parseFaults(createCatalogue([createEntry(), createEntry({ ...bound, service: 'levies' })])), '');
  t.end();
});

t.test('inter-region bytes above the capacity of the links', (t) => {
  const limits = { interRegionBytesPerSecond: 600_000_000 };
  const entries = [createEntry({}, limits), createEntry({ owner: 'beta' }, limits)];
  t.match(parseFaults(createCatalogue(entries)), /entries: the entries together allow 1200000000 B/);
  t.equal(parseFaults(createCatalogue(entries.slice(1))), '');
  t.end();
});

t.test('no operator with a token', (t) => {
  const owners = [{ name: 'alpha', tokenHashes: ['b'.repeat(64)], operator: false }];
  t.match(parseFaults(createCatalogue([], { owners })), /owners: no owner with "operator": true has a token/);
  t.end();
});

t.test('one token for two authors', (t) => {
  const owners = ['a', 'b'].map((name) => ({ name, tokenHashes: ['c'.repeat(64)], operator: true }));
  t.match(parseFaults(createCatalogue([], { owners })), /owners\[1\].tokenHashes\[0\]: the same token/);
  t.end();
});

t.test('lookup finds only exact matches', (t) => {
  const index = indexCatalogue({ version: 1, author: 'x', catalogue: createCatalogue([createEntry()]) });
  t.same(findEntry(index, 'alpha', 'badges', 'badgeCheck'), createEntry());
  t.equal(findEntry(index, 'beta', 'badges', 'badgeCheck'), undefined);
  t.equal(findEntry(index, 'alpha', 'badges', 'constructor'), undefined);
  t.end();
});

t.test('diff ignores order', (t) => {
  const other = createEntry({ class: 'other' });
  const before = createCatalogue([createEntry(), other]);
  const after = createCatalogue([other, createEntry({}, { burst: 21 })], { regions: ['mombasa', 'nairobi'] });
  t.same(diffCatalogues(before, after), [
    {
      part: 'entry',
      kind: 'changed',
      name: 'alpha/badges/badgeCheck',
      owner: 'alpha',
      fields: [{ field: 'limits.burst', before: '20', after: '21' }],
    },
  ]);
  t.match(diffCatalogues(before, createCatalogue([other])), [{ kind: 'removed', fields: [] }]);
  t.end();
});

t.test('owners change only their entries', (t) => {
  const mine = createEntry();
  const theirs = createEntry({ owner: 'beta' });
  const before = createCatalogue([mine, theirs]);
  const withLimits = (entry: Entry, burst: number): Entry => ({ ...entry, limits: { ...LIMITS, burst } });
  t.same(checkChange(before, createCatalogue([withLimits(mine, 50), theirs]), 'alpha'), []);
  t.match(checkChange(before, createCatalogue([mine, withLimits(theirs, 5)]), 'alpha'), [
    { part: 'entry beta/badges/badgeCheck', message: /belongs to "beta"/ },
  ]);
  t.match(checkChange(before, createCatalogue([mine]), 'alpha'), [{ message: /belongs to "beta"/ }]);
  t.match(checkChange(before, createCatalogue([mine, theirs], { regions: ['nairobi'] }), 'alpha'), [
    { part: 'region mombasa', message: /only an operator/ },
  ]);
  t.match(checkChange(before, before, 'nobody'), [{ message: /not an owner/ }]);
  t.end();
});

t.test('operator cannot loosen entries of others', (t) => {
  const entry = createEntry({ homeRegions: ['nairobi'], evidence: 'receipt', repeatable: false });
  const before = createCatalogue([entry]);
  const change = (changes: Partial<Entry>, limits: Partial<EntryLimits> = {}): string =>
    checkChange(
      before,
      createCatalogue([{ ...entry, ...changes, limits: { ...LIMITS, ...limits } }]),
      'operators',
    )
      .map((fault) => fault.message)
      .join();
  t.equal(change({}, { burst: 5, priority: 6 }), '');
  t.match(change({}, { burst: 25, priority: 4 }), /loosen its own limits: limits.burst, limits.priority/);
  t.match(change({ homeRegions: [] }), /: homeRegions$/);
  t.match(change({ homeRegions: ['nairobi', 'mombasa'] }), /: homeRegions$/);
  t.match(change({ repeatable: true, evidence: 'sent' }), /: repeatable, evidence$/);
  t.end();
});

t.test('owner cannot make itself an operator', (t) => {
  const before = createCatalogue([]);
  const owners = before.owners.map((owner) => ({ ...owner, operator: true }));
  t.equal(checkChange(before, createCatalogue([], { owners }), 'alpha').length, 2);
  t.end();
});

t.test('damaged catalogue from a peer', (t) => {
  t.same(
    decodeCatalogue(createCatalogue([createEntry()]), 'p').unsafeCoerce(),
    createCatalogue([createEntry()]),
  );
  t.match(
    decodeCatalogue({ ...createCatalogue([]), entries: [{}] }, 'p')
      .swap()
      .unsafeCoerce(),
    {
      message: /catalogue from p: \/entries\/0 must have required property/,
      fields: { code: 'badCatalogue', peer: 'p' },
    },
  );
  t.end();
});
