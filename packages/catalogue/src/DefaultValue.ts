/** A value that applies if a file leaves it out. */
export interface DefaultValue {
  /** Place of the value, for example `entries[].limits.share`. */
  readonly path: string;
  readonly value: unknown;
}
