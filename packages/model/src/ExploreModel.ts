import { createModel } from '#model/CreateModel.js';
import { encodeState } from '#model/EncodeState.js';
import type { Exploration } from '#model/Exploration.js';
import { findViolation } from '#model/FindViolation.js';
import { listSteps } from '#model/ListSteps.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';

/** How a state was first reached. */
interface Arrival {
  readonly parent: Arrival | undefined;
  readonly label: string;
}

interface Found {
  readonly state: ModelState;
  readonly arrival: Arrival;
}

/** Explores all reachable states breadth first, until an invariant is violated or `limit` states are known. */
export function exploreModel(config: ModelConfig, limit = Infinity): Exploration {
  const begunMs = performance.now();
  const first = createModel(config);
  const known = new Set([encodeState(first, config)]);
  let layer: readonly Found[] = [{ state: first, arrival: { parent: undefined, label: '' } }];
  let depth = 0;
  const finish = (found: Found | undefined, text: string | undefined): Exploration => ({
    states: known.size,
    depth,
    elapsedMs: Math.round(performance.now() - begunMs),
    isCut: known.size >= limit,
    violation:
      found === undefined || text === undefined ? undefined : { text, trace: traceOf(found.arrival) },
  });
  while (layer.length > 0 && known.size < limit) {
    const next: Found[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (const { state, arrival } of layer) {
      for (const step of listSteps(state, config)) {
        const key = encodeState(step.state, config);
        if (known.has(key)) continue;
        known.add(key);
        const found = { state: step.state, arrival: { parent: arrival, label: step.label } };
        const text = findViolation(step.state, config);
        if (text !== undefined) {
          depth += 1;
          return finish(found, text);
        }
        next.push(found);
      }
    }
    if (next.length > 0) depth += 1;
    layer = next;
  }
  return finish(undefined, undefined);
}

function traceOf(arrival: Arrival): readonly string[] {
  if (arrival.parent === undefined) return [];
  return [...traceOf(arrival.parent), arrival.label];
}
