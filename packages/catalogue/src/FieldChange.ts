/** One changed field, with its values as JSON text; a missing value is empty. */
export interface FieldChange {
  /** Name of the field; nested fields are separated by dots, as in `limits.burst`. */
  readonly field: string;
  readonly before: string;
  readonly after: string;
}
