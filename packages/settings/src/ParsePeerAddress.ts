import { isNumericAddress } from '#settings/IsNumericAddress.js';

const MAX_PORT = 65_535;

/** Splits `host:port` or `[host]:port` with a numeric host; returns `undefined` for anything else. */
export function parsePeerAddress(text: string): { readonly host: string; readonly port: number } | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3] ?? 0);
  return isNumericAddress(host) && port >= 1 && port <= MAX_PORT ? { host, port } : undefined;
}
