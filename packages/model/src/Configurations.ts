import { configure } from '#model/Configure.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import { withTwoSets } from '#model/WithTwoSets.js';

/** The configurations in which the full protocol is checked. */
export const CONFIGURATIONS: readonly ModelConfig[] = [
  configure('takeover twice, two attempts', { takeovers: 2, attempts: 2 }),
  configure('witness restart twice, takeover', { takeovers: 1, witnessRestarts: 2 }),
  configure('delayed message, witness restart, takeover', { takeovers: 1, witnessRestarts: 1, delays: 1 }),
  configure('new epoch, witness restart, takeover', { takeovers: 1, registrations: 1, witnessRestarts: 1 }),
  configure('new epoch, move, takeover, two attempts', {
    takeovers: 1,
    registrations: 1,
    moves: 1,
    attempts: 2,
  }),
  withTwoSets(configure('new witnesses, takeover', { takeovers: 1, registrations: 1 })),
];
