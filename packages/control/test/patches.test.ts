import t from 'tap';
import { applyPatch } from '#catalogue/ApplyPatch.js';
import type { VersionedCatalogue } from '#catalogue/VersionedCatalogue.js';
import { PatchLog } from '#control/PatchLog.js';

const version = (number: number): VersionedCatalogue => ({
  version: number,
  author: 'operations',
  catalogue: { regions: [`region-${number}`], services: [], owners: [], entries: [] },
});

// A daemon that holds an older version must reach exactly the newest one.
t.test('patches lead to the newest version', (t) => {
  const log = new PatchLog(8);
  log.note(version(1), version(2));
  log.note(version(2), version(5));
  const patches = log.since(1) ?? [];
  let held = version(1);
  for (const patch of patches) held = applyPatch(held, patch).unsafeCoerce();
  t.strictSame(held, version(5));
  t.end();
});

// A peer whose version the log skipped or dropped must get the whole catalogue, never patches for another base.
t.test('unknown versions have no patches', (t) => {
  const log = new PatchLog(2);
  for (const number of [1, 2, 3]) log.note(version(number), version(number + 1));
  t.equal(log.since(1), undefined);
  t.equal(log.since(2)?.length, 2);
  log.note(version(9), version(10));
  t.equal(log.since(3), undefined, 'a gap in the versions empties the log');
  t.end();
});
