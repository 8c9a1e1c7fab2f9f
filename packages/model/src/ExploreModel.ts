import { createModel } from '#model/CreateModel.js';
import { encodeState } from '#model/EncodeState.js';
import type { Exploration } from '#model/Exploration.js';
import { findViolation } from '#model/FindViolation.js';
import { listSteps } from '#model/ListSteps.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';

/** Step by which a state was first reached, linked to the one before it. */
interface TraceNode {
  readonly parent: TraceNode | undefined;
  readonly label: string;
}

interface ReachedState {
  readonly state: ModelState;
  readonly traceNode: TraceNode;
}

/** Explores all reachable states breadth first, until an invariant is violated or `limit` states are visited. */
export function exploreModel(config: ModelConfig, limit = Infinity): Exploration {
  const startedMs = performance.now();
  const initial = createModel(config);
  const visited = new Set([encodeState(initial, config)]);
  let frontier: readonly ReachedState[] = [{ state: initial, traceNode: { parent: undefined, label: '' } }];
  let depth = 0;
  const finish = (reached: ReachedState | undefined, text: string | undefined): Exploration => ({
    states: visited.size,
    depth,
    elapsedMs: Math.round(performance.now() - startedMs),
    hasReachedLimit: visited.size >= limit,
    violation:
      reached === undefined || text === undefined
        ? undefined
        : { text, trace: buildTrace(reached.traceNode) },
  });
  while (frontier.length > 0 && visited.size < limit) {
    const next: ReachedState[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
    for (const { state, traceNode } of frontier) {
      for (const step of listSteps(state, config)) {
        const key = encodeState(step.state, config);
        if (visited.has(key)) continue;
        visited.add(key);
        const reached = { state: step.state, traceNode: { parent: traceNode, label: step.label } };
        const text = findViolation(step.state, config);
        if (text !== undefined) {
          depth += 1;
          return finish(reached, text);
        }
        next.push(reached);
      }
    }
    if (next.length > 0) depth += 1;
    frontier = next;
  }
  return finish(undefined, undefined);
}

function buildTrace(traceNode: TraceNode): readonly string[] {
  if (traceNode.parent === undefined) return [];
  return [...buildTrace(traceNode.parent), traceNode.label];
}
