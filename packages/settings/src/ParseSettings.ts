import { Ajv } from 'ajv';
import { Left, Right, type Either } from 'purify-ts';
import { parseDocument } from '#catalogue/ParseDocument.js';
import { checkSettings } from '#settings/CheckSettings.js';
import { defaultTimings } from '#settings/DefaultTimings.js';
import type { Settings } from '#settings/Settings.js';
import type { SettingsFault } from '#settings/SettingsFault.js';
import schema from '../schemas/settings.json' with { type: 'json' };

const validate = new Ajv({ allErrors: true, useDefaults: true, verbose: true }).compile<Settings>(schema);

/** Parses settings in JSON with comments and fills in defaults, or returns all faults with their positions. */
export function parseSettings(text: string, fileName: string): Either<readonly SettingsFault[], Settings> {
  return parseDocument(text, fileName, validate).chain(({ value, faultAt }) => {
    const settings: Settings = { ...value, timings: { ...defaultTimings, ...value.timings } };
    const faults = checkSettings(settings).map(({ path, message }) => faultAt(path, message));
    return faults.length > 0 ? Left(faults) : Right(settings);
  });
}
