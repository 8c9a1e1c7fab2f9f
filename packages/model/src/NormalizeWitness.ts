import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessRecord } from '#lease/WitnessRecord.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelConfig } from '#model/ModelConfig.js';

/** Ends the silent period when it is over, and replaces past times by the latest time with the same effect. */
export function normalizeWitness(state: WitnessState, config: ModelConfig): WitnessState {
  const { lease } = config;
  const ticked =
    state.value === 'silent' ? stepWitness(state, { type: 'tick', nowMs: 0 }, lease).state : state;
  const { context } = ticked;
  const records = new Map(
    [...context.records].map(([id, record]) => [id, normalizeRecord(record, lease.witnessExpiryMs)]),
  );
  return {
    value: ticked.value,
    context: { ...context, silentUntilMs: Math.max(0, context.silentUntilMs), records },
  };
}

/** Clears the grants of epochs up to a promise, which are never renewed again. */
function normalizeRecord(record: WitnessRecord, expiryMs: number): WitnessRecord {
  const isPromised = record.epoch <= record.promisedEpoch;
  const isPreviousPromised = record.previousEpoch <= record.promisedEpoch;
  return {
    ...record,
    epoch: isPromised ? 0 : record.epoch,
    grantedAtMs: isPromised ? -expiryMs : Math.max(-expiryMs, record.grantedAtMs),
    previousEpoch: isPreviousPromised ? 0 : record.previousEpoch,
    previousGrantedAtMs: isPreviousPromised ? -expiryMs : Math.max(-expiryMs, record.previousGrantedAtMs),
    promiseExpiryMs: Math.max(0, record.promiseExpiryMs),
    suspectedAtMs: -Infinity,
  };
}
