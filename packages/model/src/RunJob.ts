import type { CheckJob } from '#model/CheckJob.js';
import { CONFIGURATIONS } from '#model/Configurations.js';
import { COUNTEREXAMPLE_CONFIGURATIONS } from '#model/CounterexampleConfigurations.js';
import type { Exploration } from '#model/Exploration.js';
import { exploreModel } from '#model/ExploreModel.js';
import { switchOffGuard } from '#model/SwitchOffGuard.js';

/** Runs one exploration. */
export function runJob(job: CheckJob): Exploration {
  if (job.type === 'guard')
    return exploreModel(switchOffGuard(COUNTEREXAMPLE_CONFIGURATIONS[job.guard], job.guard));
  const config = CONFIGURATIONS[job.index];
  if (config === undefined) throw new RangeError(`no configuration ${job.index}`);
  return exploreModel(config);
}
