import type { MeasurementResult } from '#load/MeasurementResult.js';

/** A measurement that is reproducible from its seed. */
export abstract class Measurement {
  /** Name on the command line. */
  public abstract readonly name: string;
  /** Expected result, printed before the run. */
  public abstract readonly target: string;
  /** Name of the row with which the others are compared. */
  public abstract readonly baseline: string;

  /** Runs all variants, including the baseline. */
  public abstract run(seed: number): Promise<MeasurementResult>;
}
