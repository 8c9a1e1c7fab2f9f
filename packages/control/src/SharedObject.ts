/** One of the objects that every daemon holds: `catalogue` or `intent`, as the store accepted it. */
export interface SharedObject {
  readonly name: 'catalogue' | 'intent';
  readonly version: number;
  readonly value: unknown;
}
