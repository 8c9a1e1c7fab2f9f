import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';

/** Decodes the `Resignation` of another daemon. */
export const resignationCodec = createObjectCodec({
  serverId: idCodec,
  term: ordinalCodec,
  processId: idCodec,
});
