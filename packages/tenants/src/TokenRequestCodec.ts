import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';

const MAX_TOKENS = 1_000_000_000;

const tokensCodec = createNumberCodec(0, MAX_TOKENS);

/** Decodes the token request of another daemon for one tenant. */
export const tokenRequestCodec = createObjectCodec({
  tenant: idCodec,
  /** Number of the last grant that the daemon has applied. */
  applied: ordinalCodec,
  /** Unused tokens at the daemon. */
  left: tokensCodec,
  tokens: tokensCodec,
  returned: tokensCodec,
});
