import type { ModelConfig } from '#model/ModelConfig.js';

/** Returns the configuration with two witness sets of five witnesses, two of which remember an earlier epoch. */
export function withTwoSets(config: ModelConfig): ModelConfig {
  return {
    ...config,
    witnessSets: [
      [0, 1, 2],
      [2, 3, 4],
    ],
    firstEpoch: 2,
  };
}
