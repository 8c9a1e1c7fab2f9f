import { countCodec } from '#codec/CountCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { measureCodec } from '#codec/MeasureCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';

/** Decodes a lease record of the store. */
export const leaseRecordCodec = createObjectCodec({
  serverId: idCodec,
  service: idCodec,
  processId: labelCodec,
  term: ordinalCodec,
  incarnation: labelCodec,
  revoked: flagCodec,
  renewal: ordinalCodec,
  workMsPerSecond: measureCodec,
  slots: countCodec,
  accepts: flagCodec,
});
