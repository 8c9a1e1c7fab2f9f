// Prints how three request streams fare at an overloaded backend server under each queue discipline. All of it is
// simulated in this process; no servers are started.
import { FairDiscipline } from '#admission/FairDiscipline.js';
import { FifoDiscipline } from '#admission/FifoDiscipline.js';
import type { OverloadStream } from '#admission/OverloadStream.js';
import { PriorityDiscipline } from '#admission/PriorityDiscipline.js';
import { simulateOverload } from '#admission/SimulateOverload.js';

const DEFAULT_SEED = 20261204;

/** Target for the streams that stay within their share: the fraction of requests that complete by the deadline. */
const TARGET_ON_TIME = 0.99;

const SEED = Number(process.env.SEED ?? DEFAULT_SEED);

const STREAMS: readonly OverloadStream[] = [
  { team: 'urgent', priority: 0, share: 1, load: 0.2 },
  { team: 'steady', priority: 5, share: 1, load: 0.3 },
  { team: 'flood', priority: 5, share: 1, load: 2 },
];

const DISCIPLINES = [
  { name: 'FIFO', discipline: new FifoDiscipline() },
  { name: 'priority only', discipline: new PriorityDiscipline(() => new FifoDiscipline()) },
  { name: 'priority, then fair (default)', discipline: new PriorityDiscipline(() => new FairDiscipline()) },
];

const percent = (part: number): string => (part * 100).toFixed(2);

console.log(`target: urgent and steady on time in ${percent(TARGET_ON_TIME)} % of their requests`);
console.log(`seed ${SEED}, 6 slots, mean service 5 ms, deadline 100 ms, 30 s, ${JSON.stringify(STREAMS)}`);
console.log('discipline | stream | on time % | late % | refused % | used % of capacity | target');
for (const { name, discipline } of DISCIPLINES) {
  for (const { team, onTime, late, refused, used } of simulateOverload(SEED, STREAMS, discipline)) {
    const verdict = onTime >= TARGET_ON_TIME ? 'met' : 'missed';
    const cells = [name, team, ...[onTime, late, refused, used].map(percent)];
    console.log([...cells, team === 'flood' ? '-' : verdict].join(' | '));
  }
}
