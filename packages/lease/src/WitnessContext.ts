import type { WitnessRecord } from '#lease/WitnessRecord.js';

/** Data of a witness. */
export interface WitnessContext {
  /** End of the silent period after the start. */
  readonly silentUntilMs: number;
  /** Random value of this run of the process; not revealed before the silent period ends. */
  readonly nonce: string;
  /** Records by server id. */
  readonly records: ReadonlyMap<string, WitnessRecord>;
}
