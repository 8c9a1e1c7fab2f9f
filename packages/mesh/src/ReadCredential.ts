import type { HeaderPair } from '#mesh/HeaderPair.js';

const BEARER = /^bearer +([^\s,]+) *$/i;

/**
 * Reads the API key of a caller (RFC 6750). Empty if the header is repeated or has another form, as such a request
 * names no key; undefined without the header.
 */
export function readCredential(headers: readonly HeaderPair[], name: string): string | undefined {
  const wanted = name.toLowerCase();
  const values = headers.filter(([each]) => each.toLowerCase() === wanted).map(([, value]) => value);
  if (values.length === 0) return undefined;
  return values.length === 1 ? (BEARER.exec(values[0] ?? '')?.[1] ?? '') : '';
}
