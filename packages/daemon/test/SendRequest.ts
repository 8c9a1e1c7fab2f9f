import { request } from 'undici';
import type { Fleet } from '#load/Fleet.js';

interface CallerResult {
  readonly status: number;
  /** Code of a refusal or failure; empty on success. */
  readonly error: string;
  /** `not run`, `ran` or `unknown`; empty on success. */
  readonly ran: string;
  /** Length of the response body. */
  readonly bytes: number;
}

/** Sends one request of the class `look`; rejects if the connection fails. */
export async function sendRequest(
  fleet: Fleet,
  serverId: string,
  key: string,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerResult> {
  const res = await request(`${fleet.callerUrl(serverId)}/v1/badges/${path}`, {
    headers: { 'amr-team': 'alpha', 'amr-class': 'look', 'amr-key': key, ...headers },
  });
  const body = Buffer.from(await res.body.arrayBuffer());
  if (res.statusCode < 400) return { status: res.statusCode, error: '', ran: '', bytes: body.length };
  const { error, ran } = JSON.parse(body.toString()) as { readonly error: string; readonly ran: string };
  return { status: res.statusCode, error, ran, bytes: body.length };
}
