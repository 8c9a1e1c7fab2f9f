/** The catalogue or the intent as the store accepted it; every daemon holds both. */
export interface SharedObject {
  readonly name: 'catalogue' | 'intent';
  readonly version: number;
  readonly value: unknown;
}
