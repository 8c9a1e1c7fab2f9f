import type { Codec } from 'purify-ts';
import type { CrashMark } from '#admission/CrashMark.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { flagCodec } from '#codec/FlagCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';

/** Codec of a `CrashMark` in messages between daemons. */
export const crashMarkCodec: Codec<CrashMark> = createObjectCodec({
  fingerprint: idCodec,
  death: labelCodec,
  cleared: flagCodec,
});
