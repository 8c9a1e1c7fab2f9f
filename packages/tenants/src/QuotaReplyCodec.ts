import { createListCodec } from '#codec/CreateListCodec.js';
import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { durationCodec } from '#codec/DurationCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import { maxQuotaTenants } from '#tenants/MaxQuotaTenants.js';

const tokensCodec = createNumberCodec(0, Number.MAX_SAFE_INTEGER);

/** Decodes the reply to a `quota` call. Tenants whose quota the other daemon does not hold are left out. */
export const quotaReplyCodec = createObjectCodec({
  grants: createListCodec(
    createObjectCodec({
      tenant: idCodec,
      number: ordinalCodec,
      burst: tokensCodec,
      tokens: tokensCodec,
      grantMs: durationCodec,
      readyInMs: durationCodec,
    }),
    maxQuotaTenants,
  ),
  /** Tenants that the other daemon no longer grants, as was asked of it. */
  yielded: createListCodec(idCodec, maxQuotaTenants),
});
