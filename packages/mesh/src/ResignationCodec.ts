import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';

/** Codec of the `Resignation` that another daemon sends. */
export const resignationCodec = createObjectCodec({
  serverId: idCodec,
  term: ordinalCodec,
  processId: idCodec,
});
