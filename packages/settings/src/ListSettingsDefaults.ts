import type { DefaultValue } from '#catalogue/DefaultValue.js';
import { listSchemaDefaults } from '#catalogue/ListSchemaDefaults.js';
import { defaultTimings } from '#settings/DefaultTimings.js';
import schema from '../schemas/settings.json' with { type: 'json' };

/** Lists the default of each optional setting of a daemon. */
export function listSettingsDefaults(): readonly DefaultValue[] {
  const timings = Object.entries(defaultTimings).map(([name, value]: [string, unknown]) => ({
    path: `timings.${name}`,
    value,
  }));
  return [...listSchemaDefaults(schema), ...timings];
}
