import type { ModelConfig } from '#model/ModelConfig.js';

/** Returns the configuration with five witnesses, of which two remember an epoch before the first one. */
export function withTwoSets(config: ModelConfig): ModelConfig {
  return {
    ...config,
    sets: [
      [0, 1, 2],
      [2, 3, 4],
    ],
    firstEpoch: 2,
  };
}
