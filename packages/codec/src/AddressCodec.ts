import { createCodec } from '#codec/CreateCodec.js';
import { portCodec } from '#codec/PortCodec.js';

/** Longest IPv4 address with a port, in characters. */
const MAX_LENGTH = '255.255.255.255:65535'.length;

const BYTE_PATTERN = '(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])';

const ADDRESS_PATTERN = new RegExp(`^${BYTE_PATTERN}(?:\\.${BYTE_PATTERN}){3}:([1-9][0-9]*)$`);

/** Decodes an IPv4 address with a port, `host:port`. Other texts are refused because connecting to them may throw. */
export const addressCodec = createCodec(
  'an IPv4 address with a port',
  (value): value is string => typeof value === 'string' && value.length <= MAX_LENGTH && isAddress(value),
);

function isAddress(text: string): boolean {
  return portCodec.decode(Number(ADDRESS_PATTERN.exec(text)?.[1])).isRight();
}
