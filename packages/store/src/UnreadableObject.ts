/** An object of a collection that cannot be decoded. Other programs also write to the store, so this may happen. */
export interface UnreadableObject {
  /** Empty if the name cannot be decoded either. */
  readonly name: string;
  /** Decoding error, which names the invalid field. */
  readonly message: string;
}
