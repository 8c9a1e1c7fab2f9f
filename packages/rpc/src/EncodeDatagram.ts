import { computeMac } from '#rpc/ComputeMac.js';
import type { Envelope } from '#rpc/Envelope.js';

/** Encodes an envelope as 16 bytes of signature followed by the JSON array `[from, to, sentAtMs, payload]`. */
export function encodeDatagram(fleetKey: string, envelope: Envelope): Buffer {
  const { from, to, sentAtMs, payload } = envelope;
  const text = `[${JSON.stringify(from)},${JSON.stringify(to)},${sentAtMs},${payload}]`;
  return Buffer.concat([computeMac(fleetKey, text), Buffer.from(text)]);
}
