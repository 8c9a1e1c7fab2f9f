import { computeMac } from '#rpc/ComputeMac.js';

/**
 * Signs the head of a request that one daemon forwards to another.
 * `fields` holds everything that the receiver relies on, in an order both sides know. Returns `<time>.<hex>`.
 */
export function signHop(fleetKey: string, fields: string, wallMs: number): string {
  const sentAtMs = Math.round(wallMs);
  return `${sentAtMs}.${computeMac(fleetKey, `hop\n${sentAtMs}\n${fields}`).toString('hex')}`;
}
