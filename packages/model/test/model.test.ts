import t from 'tap';
import { configure } from '#model/Configure.js';
import { countWithXstate } from '#model/CountWithXstate.js';
import { counterexampleConfigurations } from '#model/CounterexampleConfigurations.js';
import { exploreModel } from '#model/ExploreModel.js';
import type { GuardName } from '#model/GuardName.js';
import { disableGuard } from '#model/DisableGuard.js';

const TAKEOVER = configure('takeover', { takeovers: 1 });

t.test('one takeover keeps the owner exclusive', (t) => {
  const { violation, hasReachedLimit, states } = exploreModel(TAKEOVER);
  t.equal(violation, undefined);
  t.notOk(hasReachedLimit);
  t.ok(states > 500, 'the search did not stop early');
  t.end();
});

t.test('moves and retries run a request once', (t) => {
  const { violation } = exploreModel(configure('move', { moves: 2, attempts: 2 }));
  t.equal(violation, undefined);
  t.end();
});

t.test('a restarted daemon waits until its earlier run has no lease', (t) => {
  const budget = { registrations: 1, daemonRestarts: 1 };
  t.equal(exploreModel(configure('restart', budget, 'short')).violation, undefined);
  t.end();
});

t.test('disabling a guard violates an invariant', (t) => {
  const quickGuards: readonly GuardName[] = [
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
  for (const guard of quickGuards) {
    const { violation } = exploreModel(disableGuard(counterexampleConfigurations[guard], guard));
    t.ok(violation, guard);
  }
  t.end();
});

t.test('xstate finds the same number of states', (t) => {
  const config = configure('takeover', { takeovers: 1 }, 'short');
  t.equal(countWithXstate(config), exploreModel(config).states);
  t.end();
});
