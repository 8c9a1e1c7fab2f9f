import { createCodec } from '#codec/CreateCodec.js';
import { portCodec } from '#codec/PortCodec.js';

/** Longest IPv4 address with a port, in characters. */
const MAX_LENGTH = '255.255.255.255:65535'.length;

const BYTE = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])';

const ADDRESS = new RegExp(`^${BYTE}(?:\\.${BYTE}){3}:([1-9][0-9]*)$`);

/** Decodes an IPv4 address with a port, `host:port`. Connecting to anything else may throw. */
export const addressCodec = createCodec(
  'an IPv4 address with a port',
  (value): value is string => typeof value === 'string' && value.length <= MAX_LENGTH && isAddress(value),
);

function isAddress(text: string): boolean {
  return portCodec.decode(Number(ADDRESS.exec(text)?.[1])).isRight();
}
