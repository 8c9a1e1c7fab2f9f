const DROPPED_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'trailer',
  'te',
  'proxy-authenticate',
  'proxy-authorization',
  'date',
]);

/** Copies the end-to-end headers of a response, without hop-by-hop headers and internal `amr-` headers. */
export function selectResponseHeaders(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): Readonly<Record<string, string>> {
  const selected: Record<string, string> = {};
  for (const name in headers) {
    const value = headers[name];
    if (value === undefined || DROPPED_HEADERS.has(name) || name.startsWith('amr-')) continue;
    selected[name] = typeof value === 'string' ? value : value.join(', ');
  }
  return selected;
}
