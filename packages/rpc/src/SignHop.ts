import { computeMac } from '#rpc/ComputeMac.js';

/**
 * Signs the headers of a request that one daemon forwards to another.
 * `fields` contains everything that the receiver relies on, in a fixed order. Returns `<Unix milliseconds>.<hex MAC>`.
 */
export function signHop(fleetKey: string, fields: string, wallMs: number): string {
  const sentAtMs = Math.round(wallMs);
  return `${sentAtMs}.${computeMac(fleetKey, `hop\n${sentAtMs}\n${fields}`).toString('hex')}`;
}
