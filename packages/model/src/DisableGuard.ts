import type { GuardName } from '#model/GuardName.js';
import type { ModelConfig } from '#model/ModelConfig.js';

/** Longer than any age in the model, in steps. */
const UNLIMITED_AGE = 1e9;

/** Returns the configuration without one guard. A guard that is a duration is set to a value without effect. */
export function disableGuard(config: ModelConfig, disabledGuard: GuardName): ModelConfig {
  const { lease } = config;
  switch (disabledGuard) {
    case 'silence':
      return { ...config, disabledGuard, lease: { ...lease, silentMs: 0 } };
    case 'promiseAge':
      return { ...config, disabledGuard, lease: { ...lease, promiseMaxAgeMs: UNLIMITED_AGE } };
    default:
      return { ...config, disabledGuard };
  }
}
