import { configure } from '#model/Configure.js';
import type { GuardName } from '#model/GuardName.js';
import type { ModelConfig } from '#model/ModelConfig.js';
import { withTwoSets } from '#model/WithTwoSets.js';

const TAKEOVER = configure('takeover', { takeovers: 1 });
const RESTART = configure('witness restart, takeover', { takeovers: 1, witnessRestarts: 1 });
const DELAY = configure('delayed message, takeover', { takeovers: 1, delays: 1 });
const DELAY_AND_RESTART = configure(
  'delayed message, witness restart, takeover',
  { takeovers: 1, witnessRestarts: 1, delays: 1 },
  'short',
);
const NEW_EPOCH = configure('new epoch, takeover', { takeovers: 1, registrations: 1 });
const NEW_WITNESSES = withTwoSets(NEW_EPOCH);
const MOVE = configure('move', { moves: 1 });

/** The smallest configuration for each guard in which its absence violates an invariant. */
export const counterexampleConfigurations: Readonly<Record<GuardName, ModelConfig>> = {
  leaseCheck: TAKEOVER,
  sendTime: DELAY,
  silence: RESTART,
  nonce: DELAY_AND_RESTART,
  memory: RESTART,
  promiseKept: TAKEOVER,
  forgetKeepsPromise: DELAY,
  majority: TAKEOVER,
  expiry: TAKEOVER,
  unknownWaits: NEW_EPOCH,
  otherEpoch: NEW_WITNESSES,
  promiseAge: RESTART,
  promiseSendTime: DELAY_AND_RESTART,
  replacement: NEW_WITNESSES,
  undecidedRegistration: NEW_WITNESSES,
  undecidedMove: MOVE,
  stopBeforeMove: MOVE,
  fencesAdd: configure('takeover twice', { takeovers: 2 }),
  restartFence: configure('daemon restart', { registrations: 1, daemonRestarts: 1 }),
  conditionalUpdate: NEW_EPOCH,
  versions: TAKEOVER,
  knownSince: configure('takeover, two attempts', { takeovers: 1, attempts: 2 }),
};
