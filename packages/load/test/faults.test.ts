import t from 'tap';
import { createFaultPlan } from '#load/CreateFaultPlan.js';
import { runFaultPlan } from '#load/RunFaultPlan.js';

const COMMAND = [process.execPath, '--disable-warning=ExperimentalWarning', 'build/packages/cli/src/Main.js'];

async function findViolations(seed: number): Promise<readonly string[]> {
  const plan = createFaultPlan(seed, 6);
  return (await runFaultPlan(plan, seed, COMMAND)).violations;
}

// A VM and the store are lost at once: the takeover has to wait for the store, and no key may get two owners.
t.test('VM and store lost at once', async (t) => t.same(await findViolations(1), []));

// A daemon is killed while another is frozen for longer than its lease and returns.
t.test('daemon killed while another is frozen', async (t) => t.same(await findViolations(5), []));
