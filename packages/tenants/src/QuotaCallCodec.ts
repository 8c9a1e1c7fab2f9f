import { createListCodec } from '#codec/CreateListCodec.js';
import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { maxQuotaTenants } from '#tenants/MaxQuotaTenants.js';
import { tokenRequestCodec } from '#tenants/TokenRequestCodec.js';

/** Decodes the parameters of a `quota` call: the token requests of one daemon for many tenants. */
export const quotaCallCodec = createObjectCodec({
  /** Server id and process id of the daemon. */
  client: idCodec,
  /** Time at which the daemon sent it, on its monotonic clock. */
  sentMs: createNumberCodec(0, Number.MAX_SAFE_INTEGER),
  requests: createListCodec(tokenRequestCodec, maxQuotaTenants),
  /** Tenants whose quota the sender holds from now on, and which the receiver must no longer grant. */
  yields: createListCodec(idCodec, maxQuotaTenants),
});
