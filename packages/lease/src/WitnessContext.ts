import type { WitnessRecord } from '#lease/WitnessRecord.js';

/** What a witness remembers in one run of its process. */
export interface WitnessContext {
  /** End of the silent period after the start, on the monotonic clock in milliseconds. */
  readonly silentUntilMs: number;
  /** Random value of this run of the process; not revealed before the silent period ends. */
  readonly nonce: string;
  /** Records by server id. */
  readonly records: ReadonlyMap<string, WitnessRecord>;
}
