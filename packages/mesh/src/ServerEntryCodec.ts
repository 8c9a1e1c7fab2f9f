import { addressCodec } from '#codec/AddressCodec.js';
import { countCodec } from '#codec/CountCodec.js';
import { createChoiceCodec } from '#codec/CreateChoiceCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { createOptionalCodec } from '#codec/CreateOptionalCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';

/** Codec of a published `ServerEntry`. */
export const serverEntryCodec = createObjectCodec({
  serverId: idCodec,
  address: addressCodec,
  failureDomain: labelCodec,
  region: labelCodec,
  service: idCodec,
  instanceId: labelCodec,
  incarnation: labelCodec,
  state: createChoiceCodec(['absent', 'ready', 'draining', 'gone']),
  slots: countCodec,
  term: ordinalCodec,
  processId: idCodec,
  bornEra: createOptionalCodec(ordinalCodec),
  keysFreeMs: createOptionalCodec(ordinalCodec),
  leave: createOptionalCodec(createObjectCodec({ bornMs: ordinalCodec, sequence: ordinalCodec })),
});
