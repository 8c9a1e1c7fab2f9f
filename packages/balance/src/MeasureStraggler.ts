// Prints the tail latency of each policy while one of six servers is slowed tenfold. It is a simulation in one process.
import { LeastReportedLoad } from '#balance/LeastReportedLoad.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import { RoundRobin } from '#balance/RoundRobin.js';
import { simulateStraggler } from '#balance/SimulateStraggler.js';
import type { StragglerSettings } from '#balance/StragglerSettings.js';

const DEFAULT_SEED = 20261204;

/** Maximum p99 of the slowed run, as a multiple of the p99 of the unslowed run of the same policy. */
const TARGET_FACTOR = 1.5;

const SETTINGS: StragglerSettings = {
  seed: Number(process.env.SEED ?? DEFAULT_SEED),
  slowdown: 10,
  servers: 6,
  slots: 6,
  daemons: 6,
  meanServiceMs: 5,
  utilization: 0.5,
  reportLagMs: 2_000,
  warmUpMs: 10_000,
  measuredMs: 20_000,
  ejects: false,
  hedges: false,
};

const WITH_EJECTION = { ejects: true };

const POLICIES = [
  { name: 'round robin', create: () => new RoundRobin(), options: {} },
  { name: 'round robin, ejection', create: () => new RoundRobin(), options: WITH_EJECTION },
  { name: 'least reported load', create: () => new LeastReportedLoad(), options: {} },
  { name: 'power of two choices', create: () => new PowerOfTwoChoices(), options: {} },
  {
    name: 'power of two choices, ejection (default)',
    create: () => new PowerOfTwoChoices(),
    options: WITH_EJECTION,
  },
  {
    name: 'power of two choices, ejection, hedging (default if repeatable)',
    create: () => new PowerOfTwoChoices(),
    options: { ejects: true, hedges: true },
  },
];

console.log(`target: p99 with one server slowed is at most ${TARGET_FACTOR} times p99 without`);
console.log(`seed ${SETTINGS.seed}, ${JSON.stringify({ ...SETTINGS, seed: undefined })}`);
console.log(
  'policy | p99 unslowed ms | p99 ms | factor | p99.9 unslowed ms | p99.9 ms | slow server % | hedged % | target',
);
for (const { name, create, options } of POLICIES) {
  const unslowed = simulateStraggler({ ...SETTINGS, ...options, slowdown: 1 }, create);
  const slowed = simulateStraggler({ ...SETTINGS, ...options }, create);
  const factor = slowed.p99Ms / unslowed.p99Ms;
  const cells = [
    name,
    unslowed.p99Ms.toFixed(1),
    slowed.p99Ms.toFixed(1),
    factor.toFixed(2),
    unslowed.p999Ms.toFixed(1),
    slowed.p999Ms.toFixed(1),
    (slowed.firstServerFraction * 100).toFixed(2),
    (slowed.hedgedFraction * 100).toFixed(2),
    factor <= TARGET_FACTOR ? 'met' : 'missed',
  ];
  console.log(cells.join(' | '));
}
