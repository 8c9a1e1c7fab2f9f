import type { protocolGuards } from '#model/ProtocolGuards.js';

/** Name of a protocol guard that the check can disable. */
export type GuardName = keyof typeof protocolGuards;
