import type { DefaultValue } from '#catalogue/DefaultValue.js';
import { listSchemaDefaults } from '#catalogue/ListSchemaDefaults.js';
import schema from '../schemas/catalogue.json' with { type: 'json' };

/** Lists the default values of all catalogue fields. */
export function listCatalogueDefaults(): readonly DefaultValue[] {
  return listSchemaDefaults(schema);
}
