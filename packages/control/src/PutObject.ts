/** An operator's change of the catalogue or the intent; accepted only if the version is still `ifVersion`. */
export interface PutObject {
  readonly name: 'catalogue' | 'intent';
  readonly value: unknown;
  readonly author: string;
  readonly ifVersion: number;
}
