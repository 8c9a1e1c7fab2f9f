import type { ErrorObject } from 'ajv';

/** Describes a schema violation in one phrase that leaves out the property, since the path of the fault names it. */
export function describeSchemaError(error: ErrorObject): string {
  const params = error.params as Readonly<Record<string, unknown>>;
  switch (error.keyword) {
    case 'required':
      return `property "${String(params.missingProperty)}" is missing`;
    case 'additionalProperties':
      return `property "${String(params.additionalProperty)}" is not known`;
    case 'type':
      return `must be of type ${String(params.type)}`;
    case 'enum':
      return `must be one of ${(params.allowedValues as readonly unknown[]).join(', ')}`;
    case 'uniqueItems':
      return `items ${String(params.j)} and ${String(params.i)} are equal`;
    case 'pattern':
      return describePattern(error);
    default:
      return error.message ?? `violates the keyword "${error.keyword}" of the schema`;
  }
}

// The schema explains a pattern in the `description` next to it.
function describePattern(error: ErrorObject): string {
  const description = (error.parentSchema as { readonly description?: string } | undefined)?.description;
  return `must be ${description ?? `a text that matches ${String(error.schema)}`}`;
}
