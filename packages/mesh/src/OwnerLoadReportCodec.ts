import { countCodec } from '#codec/CountCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { durationCodec } from '#codec/DurationCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { measureCodec } from '#codec/MeasureCodec.js';
import { slowdownCodec } from '#mesh/SlowdownCodec.js';

/** Decodes the load that another daemon reports. */
export const ownerLoadReportCodec = createObjectCodec({
  serverId: idCodec,
  workMsPerSecond: measureCodec,
  slots: countCodec,
  waitMs: durationCodec,
  baseSlowdown: slowdownCodec,
  accepts: flagCodec,
});
