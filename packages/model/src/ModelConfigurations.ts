import { configure } from '#model/Configure.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import { withTwoSets } from '#model/WithTwoSets.js';

/** Configurations in which the full protocol is checked, largest first, so that all threads finish together. */
export const modelConfigurations: readonly ModelConfig[] = [
  configure('delayed message, witness restart, takeover', { takeovers: 1, witnessRestarts: 1, delays: 1 }),
  withTwoSets(configure('new witnesses, takeover', { takeovers: 1, registrations: 1 })),
  configure(
    'new epoch, move, takeover, two attempts (short)',
    { takeovers: 1, registrations: 1, moves: 1, attempts: 2 },
    'short',
  ),
  configure(
    'new epoch, delayed message, takeover (short)',
    { takeovers: 1, registrations: 1, delays: 1 },
    'short',
  ),
  configure('takeover twice, two attempts', { takeovers: 2, attempts: 2 }),
  configure(
    'new epoch, witness restart, takeover (short)',
    { takeovers: 1, registrations: 1, witnessRestarts: 1 },
    'short',
  ),
  configure('daemon restart twice, new epoch (short)', { registrations: 1, daemonRestarts: 2 }, 'short'),
  configure('new epoch twice, takeover (short)', { takeovers: 1, registrations: 2 }, 'short'),
  configure('delayed message twice, takeover (short)', { takeovers: 1, delays: 2 }, 'short'),
  configure('move twice, takeover, two attempts', { takeovers: 1, moves: 2, attempts: 2 }),
  configure('witness restart twice, takeover', { takeovers: 1, witnessRestarts: 2 }),
  configure('new epoch, takeover', { takeovers: 1, registrations: 1 }),
];
