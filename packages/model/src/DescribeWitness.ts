import type { WitnessState } from '#lease/WitnessState.js';
import { absent } from '#model/Absent.js';
import { encodeNonce } from '#model/EncodeNonce.js';
import { encodeNumbers } from '#model/EncodeNumbers.js';

/** Describes a witness and its record of server 0 by a key. */
export function describeWitness(state: WitnessState): { readonly key: string } {
  return { key: encodeWitness(state) };
}

function encodeWitness({ value, context }: WitnessState): string {
  const head = [Number(value === 'active'), context.silentUntilMs, encodeNonce(context.nonce)];
  const record = context.records.get('0');
  if (record === undefined) return encodeNumbers([...head, absent]);
  return encodeNumbers([
    ...head,
    record.epoch,
    record.grantedAtMs,
    record.previousEpoch,
    record.previousGrantedAtMs,
    record.promisedEpoch,
    record.promiseExpiryMs,
  ]);
}
