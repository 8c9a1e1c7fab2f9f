/** One changed field; values as JSON text. */
export interface FieldChange {
  /** Name, with a dot for nested fields: `limits.burst`. */
  readonly field: string;
  readonly before: string;
  readonly after: string;
}
