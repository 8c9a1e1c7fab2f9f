import { request } from 'undici';
import type { Fleet } from '#load/Fleet.js';

interface AdminResult {
  readonly status: number;
  readonly version: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Calls the administration API of a daemon as an operator. */
export async function callAdmin(
  fleet: Fleet,
  serverId: string,
  path: string,
  change: {
    readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
    readonly ifVersion?: number;
    readonly body?: unknown;
  } = {},
): Promise<AdminResult> {
  const { method = 'GET', ifVersion, body } = change;
  const res = await request(`${fleet.adminUrl(serverId)}${path}`, {
    method,
    headers: {
      authorization: 'Bearer token-operators',
      ...(ifVersion === undefined ? {} : { 'if-match': `"${ifVersion}"` }),
    },
    body: body === undefined ? null : JSON.stringify(body),
  });
  const version = Number(String(res.headers.etag ?? '0').replaceAll('"', ''));
  return { status: res.statusCode, version, body: (await res.body.json()) as AdminResult['body'] };
}
