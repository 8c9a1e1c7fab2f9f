import { setTimeout as delay } from 'node:timers/promises';
import { indexCatalogue } from '#catalogue/IndexCatalogue.js';
import { checkHistory } from '#load/CheckHistory.js';
import { createContent } from '#load/CreateContent.js';
import { createFaultFleetOptions } from '#load/CreateFaultFleetOptions.js';
import { createMix } from '#load/CreateMix.js';
import type { ScheduledFault } from '#load/ScheduledFault.js';
import { faultActions } from '#load/FaultActions.js';
import type { FaultPlan } from '#load/FaultPlan.js';
import type { FaultRunResult } from '#load/FaultRunResult.js';
import { FaultTarget } from '#load/FaultTarget.js';
import { Fleet } from '#load/Fleet.js';
import type { FleetOptions } from '#load/FleetOptions.js';
import { groupBy } from '#load/GroupBy.js';
import type { HistoryEvent } from '#load/HistoryEvent.js';
import { HistoryRecorder } from '#load/HistoryRecorder.js';
import { LoadGenerator } from '#load/LoadGenerator.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';
import type { ExecutionEvent } from '#load/ExecutionEvent.js';
import { toExecutionEvent } from '#load/ToExecutionEvent.js';

const READY_TIMEOUT_MS = 30_000;
/** Time for every shard to get an owner again after the last fault; generous, since the machine may be busy. */
const RECOVERY_TIMEOUT_MS = 30_000;
/** Longer than the default deadline of the fault fleet plus the grace period of receipts. */
const RECEIPT_WAIT_MS = 3000;
const SHUTDOWN_TIMEOUT_MS = 15_000;
const RATE_PER_SECOND = 150;
/** Time for which the load continues after the last fault has ended. */
const LOAD_TAIL_MS = 1500;
/** Few keys, so that each is requested often and two concurrent owners of a key are detected. */
const KEY_POPULARITY = { keyCount: 40, exponent: 0.5, hotKeys: 4, shiftEveryMs: 2000 } as const;

/** Runs a fleet on loopback under load and the faults of a plan, and checks the history. */
export async function runFaultPlan(
  plan: FaultPlan,
  seed: number,
  command: readonly string[],
  logs = 'amaranthrouter:daemon',
): Promise<FaultRunResult> {
  const options = createFaultFleetOptions(command, seed, logs);
  const fleet = new Fleet(options);
  const history = new HistoryRecorder();
  try {
    await fleet.start();
    await fleet.waitServing(READY_TIMEOUT_MS);
    const generator = createGenerator(fleet, options, history, plan);
    const loading = generator.run();
    const target = new FaultTarget(fleet, await fleet.listByShards(options.instances[0]?.service ?? ''));
    await Promise.all(plan.map((fault) => runFault(target, fault)));
    const report = await loading;
    const failures = await fleet.waitServing(RECOVERY_TIMEOUT_MS).then(
      () => [],
      (error: unknown) => [`notRecovered: ${String(error)}`],
    );
    // The daemons stop waiting for a missing receipt shortly after the deadline of its request.
    await delay(RECEIPT_WAIT_MS);
    const counts = await fleet.shutDownDaemons(SHUTDOWN_TIMEOUT_MS);
    return checkRun(fleet, options, history, report, [
      ...failures,
      ...counts.map((line) => `notReconciled: ${line}`),
    ]);
  } finally {
    await fleet.stop();
  }
}

async function runFault(target: FaultTarget, fault: ScheduledFault): Promise<void> {
  const action = faultActions[fault.name];
  await delay(fault.atMs);
  await action.inject(target, fault);
  await delay(fault.durationMs);
  await action.revert(target, fault);
}

function createGenerator(
  fleet: Fleet,
  { instances, catalogue, seed }: FleetOptions,
  history: HistoryRecorder,
  plan: FaultPlan,
): LoadGenerator {
  const maxDurationMs = Math.max(...plan.map((fault) => fault.atMs + fault.durationMs)) + LOAD_TAIL_MS;
  return new LoadGenerator(
    {
      targets: instances.map(({ serverId }) => fleet.callerUrl(serverId)),
      ratePerSecond: RATE_PER_SECOND,
      maxRequests: Math.floor((RATE_PER_SECOND * maxDurationMs) / 1000),
      maxDurationMs,
      warmUpMs: 0,
      maxInFlight: 1500,
      connections: 64,
      seed,
      keys: KEY_POPULARITY,
      mix: createMix(catalogue).map((loadClass) => ({ ...loadClass, retriesUnknown: true })),
      followOwner: false,
    },
    createContent(),
    history,
  );
}

function checkRun(
  fleet: Fleet,
  { catalogue }: FleetOptions,
  history: HistoryRecorder,
  report: LoadTestReport,
  failures: readonly string[],
): FaultRunResult {
  const index = indexCatalogue({ version: 1, author: '', catalogue });
  const executions = fleet.readRecords().map((record) => toExecutionEvent(record, index));
  const violations = checkHistory([...history.list(), ...executions]);
  const ended = [...report.outcomes.values()].flatMap((counts) => Object.values(counts));
  const total = ended.reduce((sum, count) => sum + count, 0) + report.unfinished;
  const mismatch = total === report.sent ? [] : [`counts: ${report.sent} sent, ${total} accounted for`];
  return {
    violations: [...violations.map(({ rule, message }) => `${rule}: ${message}`), ...mismatch, ...failures],
    report,
    executions: executions.length,
    ...countExecutions(executions, history),
  };
}

function countExecutions(
  executions: readonly ExecutionEvent[],
  history: HistoryRecorder,
): Pick<FaultRunResult, 'idempotencyKeys' | 'maxExecutionsPerKey' | 'retries'> {
  const withKey = executions.filter(({ idempotencyKey }) => idempotencyKey !== '');
  const groups = groupBy(withKey, ({ team, idempotencyKey }) => `${team}/${idempotencyKey}`);
  const isRetry = (event: HistoryEvent): boolean =>
    event.type === 'send' && !event.repeatable && event.attempt > 1;
  return {
    idempotencyKeys: groups.size,
    maxExecutionsPerKey: Math.max(0, ...[...groups.values()].map((group) => group.length)),
    retries: history.list().filter(isRetry).length,
  };
}
