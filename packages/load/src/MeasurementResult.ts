/** Table of a measurement; the first column names the variant. */
export interface MeasurementResult {
  readonly columns: readonly string[];
  readonly rows: readonly (readonly (string | number)[])[];
  /** Whether the target was met. */
  readonly isMet: boolean;
}
