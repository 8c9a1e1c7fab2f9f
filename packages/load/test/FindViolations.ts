import { createFaultPlan } from '#load/CreateFaultPlan.js';
import { runFaultPlan } from '#load/RunFaultPlan.js';

const COMMAND = [process.execPath, '--disable-warning=ExperimentalWarning', 'build/packages/cli/src/Main.js'];
const INSTANCES = 6;

/** Runs the fault plan of a seed and returns the rules that were broken. */
export async function findViolations(seed: number): Promise<readonly string[]> {
  const plan = createFaultPlan(seed, INSTANCES);
  return (await runFaultPlan(plan, seed, COMMAND)).violations;
}
