import type { Codec } from 'purify-ts';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { durationCodec } from '#codec/DurationCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import type { ChangesRequest } from '#fanout/ChangesRequest.js';

/** Limit of collections in one call. */
const MAX_COLLECTIONS = 16;

/** Decodes the parameters of the RPC method `changes`. */
export const changesRequestCodec: Codec<ChangesRequest> = createObjectCodec({
  positions: createListCodec(
    createObjectCodec({ collection: idCodec, revision: ordinalCodec }),
    MAX_COLLECTIONS,
  ),
  waitMs: durationCodec,
});
