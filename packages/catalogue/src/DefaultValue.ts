/** The default value of a field that a file may leave out. */
export interface DefaultValue {
  /** Path of the field, for example `entries[].limits.share`. */
  readonly path: string;
  readonly value: unknown;
}
