import { computeMac } from '#rpc/ComputeMac.js';
import type { Envelope } from '#rpc/Envelope.js';
import { isSameMac } from '#rpc/IsSameMac.js';

const MAC_BYTES = 16;

/** Decodes and checks a datagram; undefined if the signature or the form is wrong. */
export function decodeDatagram(fleetKey: string, datagram: Buffer): Envelope | undefined {
  if (datagram.length <= MAC_BYTES) return undefined;
  const text = datagram.toString('utf8', MAC_BYTES);
  if (!isSameMac(datagram.subarray(0, MAC_BYTES), computeMac(fleetKey, text))) return undefined;
  const [from, to, sentAtMs, payload] = JSON.parse(text) as readonly [string, string, number, unknown];
  return { from, to, sentAtMs, payload: JSON.stringify(payload) };
}
