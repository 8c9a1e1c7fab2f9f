import type { DefaultValue } from '#catalogue/DefaultValue.js';
import { listSchemaDefaults } from '#catalogue/ListSchemaDefaults.js';
import { defaultTimings } from '#settings/DefaultTimings.js';
import schema from '../schemas/settings.json' with { type: 'json' };

/** Lists every default of the settings of a daemon. */
export function listSettingsDefaults(): readonly DefaultValue[] {
  const timings = Object.entries(defaultTimings).map(([name, value]: [string, unknown]) => ({
    path: `timings.${name}`,
    value,
  }));
  return [...listSchemaDefaults(schema), ...timings];
}
