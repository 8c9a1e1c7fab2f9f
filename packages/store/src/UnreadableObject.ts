/** An object of a collection that cannot be read, as other writers may leave such objects. */
export interface UnreadableObject {
  /** Empty if even its name cannot be read. */
  readonly name: string;
  /** Which field is wrong. */
  readonly message: string;
}
