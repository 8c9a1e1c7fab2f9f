import t from 'tap';
import { configure } from '#model/Configure.js';
import { countWithXstate } from '#model/CountWithXstate.js';
import { counterexampleConfigurations } from '#model/CounterexampleConfigurations.js';
import { exploreModel } from '#model/ExploreModel.js';
import type { GuardName } from '#model/GuardName.js';
import { disableGuard } from '#model/DisableGuard.js';

const TAKEOVER = configure('takeover', { takeovers: 1 });

t.test('one takeover keeps the owner exclusive', (t) => {
  const { violation, isCut, states } = exploreModel(TAKEOVER);
  t.equal(violation, undefined);
  t.notOk(isCut);
  t.ok(states > 500, 'the search did not stop early');
  t.end();
});

t.test('moves and repeats run a request once', (t) => {
  const { violation } = exploreModel(configure('move', { moves: 2, attempts: 2 }));
  t.equal(violation, undefined);
  t.end();
});

t.test('a restarted daemon waits for its earlier run', (t) => {
  const budget = { registrations: 1, daemonRestarts: 1 };
  t.equal(exploreModel(configure('restart', budget, 'short')).violation, undefined);
  t.end();
});

t.test('missing guards are found', (t) => {
  const quick: readonly GuardName[] = [
    'leaseCheck',
    'promiseKept',
    'majority',
    'expiry',
    'unknownWaits',
    'otherEpoch',
    'stopBeforeMove',
    'undecidedMove',
    'fencesAdd',
    'restartFence',
    'conditionalUpdate',
    'versions',
    'knownSince',
  ];
  for (const guard of quick) {
    const { violation } = exploreModel(disableGuard(counterexampleConfigurations[guard], guard));
    t.ok(violation, guard);
  }
  t.end();
});

t.test('xstate finds as many states', (t) => {
  const config = configure('takeover', { takeovers: 1 }, 'short');
  t.equal(countWithXstate(config), exploreModel(config).states);
  t.end();
});
