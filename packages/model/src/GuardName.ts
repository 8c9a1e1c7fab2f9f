import type { protocolGuards } from '#model/Guards.js';

/** Name of a guard of the protocol that the check can switch off. */
export type GuardName = keyof typeof protocolGuards;
