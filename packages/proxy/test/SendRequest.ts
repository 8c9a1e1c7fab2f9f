import { request } from 'undici';

interface CallerResponse {
  readonly status: number;
  /** Code of the refusal or failure; empty for a response of the backend server. */
  readonly error: string;
  readonly ran: string;
  readonly at: readonly string[];
  readonly epoch: string;
  readonly receipt: string;
  readonly text: string;
}

/** Sends a request of the class `look` with the key `k` to a loopback port; rejects if the connection breaks. */
export async function sendRequest(
  port: number,
  headers: Readonly<Record<string, string>> = {},
  body = '',
  path = '/v1/badges/x',
): Promise<CallerResponse> {
  const response = await request(`http://127.0.0.1:${port}${path}`, {
    method: body === '' ? 'GET' : 'POST',
    headers: { 'amr-team': 'alpha', 'amr-class': 'look', 'amr-key': 'k', ...headers },
    body: body === '' ? null : body,
  });
  const text = await response.body.text();
  const header = (name: string): string => String(response.headers[name] ?? '');
  const refusal = header('amr-error') === '' ? {} : (JSON.parse(text) as Partial<CallerResponse>);
  return {
    status: response.statusCode,
    error: refusal.error ?? '',
    ran: refusal.ran ?? '',
    at: refusal.at ?? [],
    epoch: header('amr-epoch'),
    receipt: header('amr-delivery'),
    text,
  };
}
