const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'proxy-connection',
  'transfer-encoding',
  'content-length',
  'te',
  'trailer',
  'upgrade',
  'expect',
]);

/**
 * Whether a header concerns a single connection or its framing (hop-by-hop), and is therefore not forwarded.
 */
export function isConnectionHeader(name: string): boolean {
  return CONNECTION_HEADERS.has(name.toLowerCase());
}
