import t from 'tap';
import { EraGuard } from '#store/EraGuard.js';
import { StoreVersion } from '#store/StoreVersion.js';

t.test('versions rise over a restore', (t) => {
  // Guards against a view that ignores the restored store because its revisions went back.
  t.ok(StoreVersion.combine(1, 5) > StoreVersion.combine(0, 2 ** 39));
  t.equal(StoreVersion.combine(0, 77), 77, 'era 0 changes nothing');
  const version = StoreVersion.combine(8_191, 2 ** 40 - 1);
  t.ok(Number.isSafeInteger(version));
  t.same([StoreVersion.eraOf(version), StoreVersion.revisionOf(version)], [8_191, 2 ** 40 - 1]);
  t.end();
});

t.test('only a later era is a change', (t) => {
  const guard = new EraGuard();
  t.same(guard.noteAnswer(2, 0), { era: 2, isFirst: true });
  t.equal(guard.noteAnswer(2, 1), undefined);
  t.equal(guard.noteAnswer(1, 2), undefined, 'a delayed answer of the earlier era');
  t.equal(guard.era, 2);
  t.same(guard.noteAnswer(4, 3), { era: 4, isFirst: false });
  t.end();
});

t.test('era is in doubt after a failure or silence', (t) => {
  // Guards against a write after a restore that this process has not noticed.
  const guard = new EraGuard();
  t.notOk(guard.isInDoubt(0), 'nothing was read before the first answer');
  guard.noteAnswer(0, 1_000);
  t.notOk(guard.isInDoubt(4_500), 'renewals every 3 s need no confirmation');
  t.ok(guard.isInDoubt(5_500));
  guard.noteAnswer(0, 6_000);
  guard.noteFailure();
  t.ok(guard.isInDoubt(6_001));
  guard.noteAnswer(0, 6_002);
  t.notOk(guard.isInDoubt(6_003));
  t.end();
});

t.test('store without eras is never in doubt', (t) => {
  // Guards against more calls to a store that does not name its era.
  const guard = new EraGuard();
  guard.noteAnswer(undefined, 0);
  guard.noteFailure();
  t.notOk(guard.isInDoubt(60_000));
  t.end();
});
