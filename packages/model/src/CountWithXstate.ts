import { fromTransition } from 'xstate';
import { getAdjacencyMap } from 'xstate/graph';
import { createModel } from '#model/CreateModel.js';
import { encodeState } from '#model/EncodeState.js';
import { listSteps } from '#model/ListSteps.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import type { ModelState } from '#model/ModelState.js';

interface StepEvent {
  readonly type: string;
}

/** Counts the reachable states with `getAdjacencyMap` of xstate, to check the search of this package against it. */
export function countWithXstate(config: ModelConfig): number {
  const logic = fromTransition(
    (state: ModelState, event: StepEvent) =>
      listSteps(state, config).find(({ label }) => label === event.type)?.state ?? state,
    createModel(config),
  );
  const adjacency = getAdjacencyMap(logic, {
    events: ({ context }) => listSteps(context, config).map(({ label }) => ({ type: label })),
    serializeState: ({ context }) => encodeState(context, config),
    serializeEvent: ({ type }) => type,
  });
  return Object.keys(adjacency).length;
}
