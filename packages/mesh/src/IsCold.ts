import type { ServerState } from '#mesh/ServerState.js';

/**
 * Whether the backend server is cold, or may be because it has not announced itself since its failure domain
 * came back.
 */
export function isCold({ presence, evacuationEndMs }: ServerState, nowMs: number): boolean {
  return nowMs < presence.coldUntilMs || presence.announcedMs <= evacuationEndMs;
}
