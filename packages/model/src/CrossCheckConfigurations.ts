import { configure } from '#model/Configure.js';
import type { ModelConfig } from '#model/ModelConfig.js';

/** Small configurations whose numbers of states are compared with those of xstate. */
export const crossCheckConfigurations: readonly ModelConfig[] = [
  configure('takeover', { takeovers: 1 }),
  configure('move, two attempts', { moves: 1, attempts: 2 }),
  configure('new epoch, takeover', { takeovers: 1, registrations: 1 }, 'short'),
];
