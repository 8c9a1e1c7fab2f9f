import { RouterError } from '#core/RouterError.js';
import type { ChartEvent } from '#chart/ChartEvent.js';
import type { ChartFile } from '#chart/ChartFile.js';
import type { ChartRules } from '#chart/ChartRules.js';
import type { ChartState } from '#chart/ChartState.js';
import type { ChartTransition } from '#chart/ChartTransition.js';
import type { CompiledChart } from '#chart/CompiledChart.js';
import type { CompiledTransition } from '#chart/CompiledTransition.js';

/** Compiles a chart file with its rules. Throws a `RouterError` if the file refers to a name that does not exist. */
export function compileChart<C, E extends ChartEvent, K>(
  fileName: string,
  file: ChartFile,
  rules: ChartRules<C, E, K>,
): CompiledChart<C, E, K> {
  findState(fileName, file, file.initial);
  const transitions = new Map(
    Object.entries(file.states).map(([name, state]) => [name, compileState(fileName, file, state, rules)]),
  );
  const finalStates = new Set(Object.keys(file.states).filter((name) => file.states[name]?.type === 'final'));
  return Object.freeze({ id: file.id, initial: file.initial, finalStates, transitions });
}

function compileState<C, E extends ChartEvent, K>(
  fileName: string,
  file: ChartFile,
  state: ChartState,
  rules: ChartRules<C, E, K>,
): ReadonlyMap<string, readonly CompiledTransition<C, E, K>[]> {
  const entries = Object.entries(state.on ?? {}).map(([type, value]) => {
    const list = isTransitionList(value) ? value : [value];
    const compiled = list.map((transition) => compileTransition(fileName, file, transition, rules));
    return [type, Object.freeze(compiled)] as const;
  });
  return new Map(entries);
}

function compileTransition<C, E extends ChartEvent, K>(
  fileName: string,
  file: ChartFile,
  transition: ChartTransition,
  rules: ChartRules<C, E, K>,
): CompiledTransition<C, E, K> {
  const { target, guard } = transition;
  const entry = target === undefined ? [] : (findState(fileName, file, target).entry ?? []);
  const actionNames = [...(transition.actions ?? []), ...entry];
  return Object.freeze({
    target,
    guard: guard === undefined ? undefined : findByName(fileName, 'guard', rules.guards, guard),
    actions: actionNames.map((name) => findByName(fileName, 'action', rules.actions, name)),
  });
}

function findState(fileName: string, file: ChartFile, name: string): ChartState {
  return findByName(fileName, 'state', file.states, name);
}

function findByName<T>(fileName: string, kind: string, table: Readonly<Record<string, T>>, name: string): T {
  const rule = Object.hasOwn(table, name) ? table[name] : undefined;
  if (rule !== undefined) return rule;
  throw new RouterError(
    { code: 'chartNameMissing', step: 'settings', peer: '', ran: 'not run', status: 500 },
    `${fileName}: ${kind} "${name}" does not exist`,
  );
}

function isTransitionList(
  value: ChartTransition | readonly ChartTransition[],
): value is readonly ChartTransition[] {
  return Array.isArray(value);
}
