import type { ScheduledFault } from '#load/ScheduledFault.js';
import type { FaultName } from '#load/FaultName.js';
import type { FaultPlan } from '#load/FaultPlan.js';
import { Measurement } from '#load/Measurement.js';
import type { MeasurementResult } from '#load/MeasurementResult.js';
import { runFaultPlan } from '#load/RunFaultPlan.js';

const COMMAND: readonly string[] = [
  process.execPath,
  '--disable-warning=ExperimentalWarning',
  'build/packages/cli/src/Main.js',
];
const BASELINE = 'slow store';
const FAULT_START_MS = 1500;
const FAULT_DURATION_MS = 2500;

/** Plans by name. In the last one, the loss of the VM causes the takeover write whose reply is lost. */
const PLANS: ReadonlyMap<string, FaultPlan> = new Map([
  [BASELINE, [createFault('storeSlow')]],
  ['daemon killed', [createFault('killDaemon')]],
  ['VM lost', [createFault('killVm')]],
  ['daemon frozen', [createFault('freezeDaemon')]],
  ['VM lost, replies lost', [createFault('killVm'), createFault('loseReplies')]],
]);

/** Counts how often each non-repeatable request runs while faults occur and its caller retries. */
export class IdempotencyMeasurement extends Measurement {
  public override readonly name: string = 'once';
  public override readonly baseline: string = `${BASELINE} (no loss)`;
  public override readonly target: string = 'no request id runs twice, no rule of the history is broken';

  public override async run(seed: number): Promise<MeasurementResult> {
    const rows: (readonly string[])[] = []; // eslint-disable-line no-restricted-syntax -- local result
    let isMet = true;
    for (const [name, plan] of PLANS) {
      const { violations, idempotencyKeys, maxExecutionsPerKey, retries } = await runFaultPlan(
        plan,
        seed,
        COMMAND,
      );
      isMet &&= maxExecutionsPerKey <= 1 && violations.length === 0;
      rows.push([name, ...[idempotencyKeys, retries, maxExecutionsPerKey, violations.length].map(String)]);
    }
    return { columns: ['fault', 'ids run', 'repeats sent', 'most runs', 'violations'], rows, isMet };
  }
}

function createFault(name: FaultName): ScheduledFault {
  return { name, atMs: FAULT_START_MS, durationMs: FAULT_DURATION_MS, instanceRank: 0 };
}
