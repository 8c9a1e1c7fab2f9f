import { computeMac } from '#rpc/ComputeMac.js';
import type { Envelope } from '#rpc/Envelope.js';
import { isSameMac } from '#rpc/IsSameMac.js';

const MAC_BYTES = 16;

/** Verifies and decodes a datagram; undefined if it is too short or its signature is wrong. Throws on invalid JSON. */
export function decodeDatagram(fleetKey: string, datagram: Buffer): Envelope | undefined {
  if (datagram.length <= MAC_BYTES) return undefined;
  const text = datagram.toString('utf8', MAC_BYTES);
  if (!isSameMac(datagram.subarray(0, MAC_BYTES), computeMac(fleetKey, text))) return undefined;
  const [from, to, sentAtMs, payload] = JSON.parse(text) as readonly [string, string, number, unknown];
  return { from, to, sentAtMs, payload: JSON.stringify(payload) };
}
