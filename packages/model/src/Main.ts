import { CheckPool } from '#model/CheckPool.js';
import type { CheckJob } from '#model/CheckJob.js';
import { modelConfigurations } from '#model/ModelConfigurations.js';
import { countWithXstate } from '#model/CountWithXstate.js';
import { crossCheckConfigurations } from '#model/CrossCheckConfigurations.js';
import type { Exploration } from '#model/Exploration.js';
import { exploreModel } from '#model/ExploreModel.js';
import { formatTrace } from '#model/FormatTrace.js';
import type { GuardName } from '#model/GuardName.js';
import { protocolGuards } from '#model/ProtocolGuards.js';

/** Four threads leave cores for other work on the machine; each uses up to 0.5 GB. */
const THREAD_COUNT = 4;

/** Prints the result of each configuration of the full protocol; returns whether all invariants held. */
function reportFull(results: readonly Exploration[]): boolean {
  console.log('Full protocol');
  results.forEach(({ states, depth, elapsedMs, violation }, index) => {
    const verdict = violation === undefined ? 'holds' : `FAILS: ${violation.text}`;
    const seconds = (elapsedMs / 1000).toFixed(1);
    console.log(
      `  ${modelConfigurations[index]?.name}: ${states} states, depth ${depth}, ${seconds} s, ${verdict}`,
    );
    if (violation !== undefined) console.log(formatTrace(violation.trace));
  });
  return results.every(({ violation }) => violation === undefined);
}

/** Prints a shortest counterexample for each disabled guard; returns whether each guard has one. */
function reportGuards(names: readonly GuardName[], results: readonly Exploration[]): boolean {
  console.log('\nOne guard switched off at a time');
  results.forEach(({ states, elapsedMs, violation }, index) => {
    const name = names[index];
    if (name === undefined) return;
    const head = `  ${name} (${protocolGuards[name]}): ${states} states, ${(elapsedMs / 1000).toFixed(1)} s`;
    console.log(
      violation ? `${head}, ${violation.trace.length} steps: ${violation.text}` : `${head}, NONE FOUND`,
    );
    if (violation !== undefined) console.log(formatTrace(violation.trace));
  });
  return results.every(({ violation }) => violation !== undefined);
}

/** Compares the numbers of states with those that xstate finds; returns whether they agree. */
function reportCrossChecks(): boolean {
  console.log('\nNumber of states by this search and by getAdjacencyMap of xstate/graph');
  return crossCheckConfigurations
    .map((config) => {
      const { states } = exploreModel(config);
      const expected = countWithXstate(config);
      console.log(`  ${config.name}: ${states} and ${expected}`);
      return states === expected;
    })
    .every((isEqual) => isEqual);
}

const startedMs = performance.now();
const guards = Object.keys(protocolGuards) as readonly GuardName[];
const full = modelConfigurations.map((_, index): CheckJob => ({ type: 'full', index }));
const pool = new CheckPool(THREAD_COUNT);
const results = await pool.run([...full, ...guards.map((guard): CheckJob => ({ type: 'guard', guard }))]);
await pool.stop();
const hasPassed = [
  reportFull(results.slice(0, full.length)),
  reportGuards(guards, results.slice(full.length)),
  reportCrossChecks(),
].every((isPassed) => isPassed);
console.log(
  `\n${hasPassed ? 'passed' : 'FAILED'} in ${((performance.now() - startedMs) / 1000).toFixed(1)} s`,
);
process.exitCode = hasPassed ? 0 : 1;
