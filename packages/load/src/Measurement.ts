import type { MeasurementResult } from '#load/MeasurementResult.js';

/** A measurement that can be repeated from its seed. */
export abstract class Measurement {
  /** Name on the command line. */
  public abstract readonly name: string;
  /** What is expected, stated before the run. */
  public abstract readonly target: string;
  /** Name of the row that the others are compared with. */
  public abstract readonly baseline: string;

  /** Runs all variants, the baseline among them. */
  public abstract run(seed: number): Promise<MeasurementResult>;
}
