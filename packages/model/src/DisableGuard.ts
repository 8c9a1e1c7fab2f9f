import type { GuardName } from '#model/GuardName.js';
import type { ModelConfig } from '#model/ModelConfig.js';

/** Longer than any age in the model. */
const UNLIMITED = 1e9;

/** Returns the configuration without one guard; durations that are guards of their own lose their effect. */
export function disableGuard(config: ModelConfig, guardOff: GuardName): ModelConfig {
  const { lease } = config;
  switch (guardOff) {
    case 'silence':
      return { ...config, guardOff, lease: { ...lease, silentMs: 0 } };
    case 'promiseAge':
      return { ...config, guardOff, lease: { ...lease, promiseMaxAgeMs: UNLIMITED } };
    default:
      return { ...config, guardOff };
  }
}
