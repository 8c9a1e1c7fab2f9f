import { stepWitness } from '#lease/StepWitness.js';
import type { WitnessRecord } from '#lease/WitnessRecord.js';
import type { WitnessState } from '#lease/WitnessState.js';
import type { ModelConfig } from '#model/ModelConfig.js';

/** Ends the silent period when it is over, and maps times that have passed to the newest time with the same effect. */
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

/** Epochs up to a promise are never renewed again, so that their grants no longer matter. */
function normalizeRecord(record: WitnessRecord, expiryMs: number): WitnessRecord {
  const isOver = record.epoch <= record.promisedEpoch;
  const isPreviousOver = record.previousEpoch <= record.promisedEpoch;
  return {
    ...record,
    epoch: isOver ? 0 : record.epoch,
    grantedAtMs: isOver ? -expiryMs : Math.max(-expiryMs, record.grantedAtMs),
    previousEpoch: isPreviousOver ? 0 : record.previousEpoch,
    previousGrantedAtMs: isPreviousOver ? -expiryMs : Math.max(-expiryMs, record.previousGrantedAtMs),
    promiseExpiryMs: Math.max(0, record.promiseExpiryMs),
    suspectedAtMs: -Infinity,
  };
}
