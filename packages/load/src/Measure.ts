import { cac } from 'cac';
import { ChurnMeasurement } from '#load/ChurnMeasurement.js';
import { ControlCostMeasurement } from '#load/ControlCostMeasurement.js';
import { formatMeasurementTable } from '#load/FormatMeasurementTable.js';
import { ImbalanceMeasurement } from '#load/ImbalanceMeasurement.js';
import type { Measurement } from '#load/Measurement.js';
import { IdempotencyMeasurement } from '#load/IdempotencyMeasurement.js';
import { OverheadMeasurement } from '#load/OverheadMeasurement.js';
import { UnavailableMeasurement } from '#load/UnavailableMeasurement.js';

const DEFAULT_SEED = 20_261_204;

const MEASUREMENTS: readonly Measurement[] = [
  new ImbalanceMeasurement(),
  new ChurnMeasurement(),
  new OverheadMeasurement(),
  new ControlCostMeasurement(),
  new IdempotencyMeasurement(),
  new UnavailableMeasurement(),
];

async function measure(name: string): Promise<void> {
  const measurement = MEASUREMENTS.find((candidate) => candidate.name === name);
  if (measurement === undefined) {
    console.error(
      `Unknown measurement "${name}". Available: ${MEASUREMENTS.map((candidate) => candidate.name).join(', ')}`,
    );
    process.exitCode = 2;
    return;
  }
  const seed = Number(process.env.SEED ?? DEFAULT_SEED);
  console.log(`measurement ${name}, seed ${seed}`);
  console.log(`target: ${measurement.target}`);
  const { columns, rows, isMet } = await measurement.run(seed);
  console.log(formatMeasurementTable(columns, rows));
  console.log(`baseline: ${measurement.baseline}`);
  console.log(`target ${isMet ? 'met' : 'not met'}`);
}

const cli = cac('measure');
cli.command('<name>', 'Runs a measurement; the environment variable SEED sets its seed').action(measure);
cli.help();
cli.parse();
