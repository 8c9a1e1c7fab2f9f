import type { DefaultValue } from '#catalogue/DefaultValue.js';

interface SchemaNode {
  readonly $ref?: string;
  readonly type?: unknown;
  readonly enum?: unknown;
  readonly default?: unknown;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
}

/** Lists the default values in a JSON schema; for objects, those of the properties. */
export function listSchemaDefaults(schema: SchemaNode, path = ''): readonly DefaultValue[] {
  if (schema.properties !== undefined)
    return Object.entries(schema.properties).flatMap(([name, property]) =>
      listSchemaDefaults(property, path === '' ? name : `${path}.${name}`),
    );
  if (schema.default !== undefined) return [{ path, value: schema.default }];
  return schema.items === undefined ? [] : listSchemaDefaults(schema.items, `${path}[]`);
}
