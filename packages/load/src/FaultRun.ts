import { cac } from 'cac';
import { createFaultPlan } from '#load/CreateFaultPlan.js';
import { formatMeasurementTable } from '#load/FormatMeasurementTable.js';
import { runFaultPlan } from '#load/RunFaultPlan.js';

const INSTANCE_COUNT = 6;
const MAX_PRINTED_VIOLATIONS = 20;
const COMMAND: readonly string[] = [
  process.execPath,
  '--disable-warning=ExperimentalWarning',
  'build/packages/cli/src/Main.js',
];

async function runSeed(seed: number, logs: string): Promise<boolean> {
  const plan = createFaultPlan(seed, INSTANCE_COUNT);
  console.log(`seed ${seed}`);
  for (const fault of plan)
    console.log(
      `  ${fault.name} on the instance of rank ${fault.instanceRank} at ${fault.atMs} ms for ${fault.durationMs} ms`,
    );
  const { violations, report, executions } = await runFaultPlan(plan, seed, COMMAND, logs);
  const rows = [...report.outcomes].map(([name, counts]) => [name, ...Object.values(counts).map(String)]);
  console.log(
    formatMeasurementTable(['team/class', 'ok', 'late', 'corrupt', 'refused', 'failed', 'unknown'], rows),
  );
  console.log(`${report.sent} requests, ${executions} executions, ${violations.length} violations`);
  for (const violation of violations.slice(0, MAX_PRINTED_VIOLATIONS)) console.log(`  ${violation}`);
  return violations.length === 0;
}

const cli = cac('fault-run');
cli
  .command('', 'Runs fault plans against a small fleet and checks the histories')
  .option('--seed <seed>', 'Seed of the first run', { default: 1 })
  .option('--runs <runs>', 'Number of runs, each with the next seed', { default: 1 })
  .option('--logs <names>', 'Log names of the daemons', { default: 'amaranthrouter:daemon' })
  .action(async (options: { readonly seed: number; readonly runs: number; readonly logs: string }) => {
    for (let seed = options.seed; seed < options.seed + options.runs; seed++)
      if (!(await runSeed(seed, options.logs))) process.exitCode = 1;
  });
cli.help();
cli.parse();
