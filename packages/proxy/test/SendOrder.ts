import { request } from 'undici';

interface CallerAnswer {
  readonly status: number;
  /** Code of a refusal or failure; empty for answers. */
  readonly error: string;
  readonly ran: string;
  readonly at: readonly string[];
  readonly epoch: string;
  readonly receipt: string;
  readonly text: string;
}

/** Sends a request of the class `look` with the key `k` to a port; rejects if the connection breaks. */
export async function sendOrder(
  port: number,
  headers: Readonly<Record<string, string>> = {},
  body = '',
  path = '/v1/badges/x',
): Promise<CallerAnswer> {
  const answer = await request(`http://127.0.0.1:${port}${path}`, {
    method: body === '' ? 'GET' : 'POST',
    headers: { 'amr-team': 'alpha', 'amr-class': 'look', 'amr-key': 'k', ...headers },
    body: body === '' ? null : body,
  });
  const text = await answer.body.text();
  const header = (name: string): string => String(answer.headers[name] ?? '');
  const refusal = header('amr-error') === '' ? {} : (JSON.parse(text) as Partial<CallerAnswer>);
  return {
    status: answer.statusCode,
    error: refusal.error ?? '',
    ran: refusal.ran ?? '',
    at: refusal.at ?? [],
    epoch: header('amr-epoch'),
    receipt: header('amr-delivery'),
    text,
  };
}
