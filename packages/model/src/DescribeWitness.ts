import type { WitnessState } from '#lease/WitnessState.js';
import { absent } from '#model/Absent.js';
import { encodeNonce } from '#model/EncodeNonce.js';
import { toText } from '#model/ToText.js';

/** Describes a witness and its record of server 0. */
export function describeWitness(state: WitnessState): { readonly key: string } {
  return { key: witnessText(state) };
}

function witnessText({ value, context }: WitnessState): string {
  const head = [Number(value === 'active'), context.silentUntilMs, encodeNonce(context.nonce)];
  const record = context.records.get('0');
  if (record === undefined) return toText([...head, absent]);
  return toText([
    ...head,
    record.epoch,
    record.grantedAtMs,
    record.previousEpoch,
    record.previousGrantedAtMs,
    record.promisedEpoch,
    record.promiseExpiryMs,
  ]);
}
