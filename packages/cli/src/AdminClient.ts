import { Agent, request } from 'undici';
import type { Page } from '#admin/Page.js';
import type { AdminResponse } from '#cli/AdminResponse.js';
import type { AdminQuery } from '#cli/AdminQuery.js';
import { CommandError } from '#cli/CommandError.js';
import { describeRefusal } from '#cli/DescribeRefusal.js';
import { exitCodes } from '#cli/ExitCodes.js';

const TIMEOUT_MS = 30_000;
const PAGE_SIZE = '500';

// Limits the memory that a listing takes; the largest fleet has 4,300 daemons.
const MAX_ITEMS = 20_000;

/** Client of the administration API of one daemon. */
export class AdminClient {
  private readonly url: string;
  private readonly token: string;
  private readonly agent: Agent;

  public constructor(url: string, token: string, ca: string | undefined) {
    this.url = url.replace(/\/+$/, '');
    this.token = token;
    const connect = { timeout: TIMEOUT_MS, ...(ca === undefined ? {} : { ca }) };
    this.agent = new Agent({ connect, headersTimeout: TIMEOUT_MS, bodyTimeout: TIMEOUT_MS });
  }

  /** Sends a request and decodes the JSON response; throws a `CommandError` if it is refused or cannot be sent. */
  public async send<T>(path: string, query: AdminQuery = {}): Promise<AdminResponse<T>> {
    const { method = 'GET', ifVersion, body } = query;
    const headers = {
      authorization: `Bearer ${this.token}`,
      ...(ifVersion === undefined ? {} : { 'if-match': `"${ifVersion}"` }),
      ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    };
    const target = `${this.url}${path}${formatQuery(query.query ?? {})}`;
    const options = { method, headers, dispatcher: this.agent, ...(body === undefined ? {} : { body }) };
    const res = await request(target, options).catch((error: unknown) => {
      throw this.describeFailure(error);
    });
    const text = await res.body.text();
    if (res.statusCode !== 200) throw describeRefusal(res.statusCode, text, this.url);
    const etag = String(res.headers.etag ?? '');
    return { body: JSON.parse(text) as T, version: Number(etag.replaceAll('"', '')) };
  }

  /** Reads the pages of a list, up to 20,000 items. */
  public async list<T>(path: string, query: Readonly<Record<string, string>> = {}): Promise<readonly T[]> {
    let items: readonly T[] = [];
    let after = '';
    do {
      const { body } = await this.send<Page<T>>(path, { query: { ...query, limit: PAGE_SIZE, after } });
      items = [...items, ...body.items];
      after = body.next;
    } while (after !== '' && items.length < MAX_ITEMS);
    return items;
  }

  /** Closes the connections. */
  public close(): Promise<void> {
    return this.agent.close();
  }

  private describeFailure(error: unknown): CommandError {
    const reason = error instanceof Error ? error.message : String(error);
    const fields = { code: 'unreachable', step: 'admin', peer: this.url } as const;
    return new CommandError(exitCodes.unreachable, fields, `${this.url} cannot be reached: ${reason}`);
  }
}

function formatQuery(query: Readonly<Record<string, string>>): string {
  const pairs = Object.entries(query).filter(([, value]) => value !== '');
  return pairs.length === 0 ? '' : `?${new URLSearchParams(pairs).toString()}`;
}
