import { readFileSync } from 'node:fs';
import fc from 'fast-check';
import t from 'tap';
import { applyPatch } from '#catalogue/ApplyPatch.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { checkChange } from '#catalogue/CheckChange.js';
import { createPatch } from '#catalogue/CreatePatch.js';
import { diffCatalogues } from '#catalogue/DiffCatalogues.js';
import type { Entry } from '#catalogue/Entry.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';

const SEED = Number(process.env.SEED ?? 20261204);
const TEXT = readFileSync('examples/kanwa/catalogue.jsonc', 'utf8');
const BASE = parseCatalogue(TEXT, 'c').unsafeCoerce();

const changedEntry = fc
  .record({ index: fc.nat(BASE.entries.length - 1), burst: fc.integer({ min: 1, max: 900 }) })
  .map(({ index, burst }): Entry => {
    const entry = BASE.entries[index]!;
    return { ...entry, limits: { ...entry.limits, burst } };
  });

const anyCatalogue: fc.Arbitrary<Catalogue> = fc.record({
  entries: fc.uniqueArray(changedEntry, {
    selector: (each) => `${each.owner}/${each.service}/${each.class}`,
  }),
  owners: fc.subarray([...BASE.owners]),
  services: fc.subarray([...BASE.services]),
  regions: fc.subarray([...BASE.regions]),
});

const check = (property: fc.IRawProperty<unknown, false>): void =>
  fc.assert(property, { seed: SEED, numRuns: 200 });

t.test('damaged text', (t) => {
  const damage = fc.record({ at: fc.nat(TEXT.length), cut: fc.nat(40), insert: fc.string({ maxLength: 5 }) });
  check(
    fc.property(damage, ({ at, cut, insert }) => {
      const text = TEXT.slice(0, at) + insert + TEXT.slice(at + cut);
      const lines = text.split('\n');
      for (const fault of parseCatalogue(text, 'c').swap().orDefault([])) {
        const line = lines[fault.line - 1];
        if (line === undefined || fault.column < 1 || fault.column > line.length + 1) return false;
      }
      return true;
    }),
  );
  t.end();
});

t.test('patches lose a change', (t) => {
  check(
    fc.property(anyCatalogue, anyCatalogue, (left, right) => {
      const before = { version: 3, author: 'a', catalogue: left };
      const after = { version: 5, author: 'b', catalogue: right };
      const patched = applyPatch(before, createPatch(before, after)).unsafeCoerce();
      return patched.version === 5 && diffCatalogues(patched.catalogue, right).length === 0;
    }),
  );
  const version = { version: 3, author: 'a', catalogue: BASE };
  const patch = createPatch(version, { ...version, version: 4 });
  t.match(
    applyPatch({ ...version, version: 2 }, patch)
      .swap()
      .unsafeCoerce(),
    { message: /version 3/ },
  );
  t.end();
});

t.test('team changes more than its entries', (t) => {
  check(
    fc.property(anyCatalogue, (after) => {
      const others = diffCatalogues(BASE, after).filter((change) => change.owner !== 'storefront');
      return checkChange(BASE, after, 'storefront').length === others.length;
    }),
  );
  t.end();
});
