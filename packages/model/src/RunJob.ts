import type { CheckJob } from '#model/CheckJob.js';
import { modelConfigurations } from '#model/ModelConfigurations.js';
import { counterexampleConfigurations } from '#model/CounterexampleConfigurations.js';
import type { Exploration } from '#model/Exploration.js';
import { exploreModel } from '#model/ExploreModel.js';
import { disableGuard } from '#model/DisableGuard.js';

/** Runs one exploration. */
export function runJob(job: CheckJob): Exploration {
  if (job.type === 'guard')
    return exploreModel(disableGuard(counterexampleConfigurations[job.guard], job.guard));
  const config = modelConfigurations[job.index];
  if (config === undefined) throw new RangeError(`no configuration ${job.index}`);
  return exploreModel(config);
}
