import type { WitnessRecord } from '#lease/WitnessRecord.js';
import type { WitnessState } from '#lease/WitnessState.js';

/** Moves the times of a witness one step into the past. */
export function shiftWitness({ value, context }: WitnessState): WitnessState {
  const records = new Map([...context.records].map(([id, record]) => [id, shiftRecord(record)]));
  return { value, context: { ...context, silentUntilMs: context.silentUntilMs - 1, records } };
}

function shiftRecord(record: WitnessRecord): WitnessRecord {
  return {
    ...record,
    grantedAtMs: record.grantedAtMs - 1,
    previousGrantedAtMs: record.previousGrantedAtMs - 1,
    promiseExpiryMs: record.promiseExpiryMs - 1,
  };
}
