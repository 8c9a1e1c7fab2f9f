import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { OwnerWait } from '#mesh/OwnerWait.js';

/** Fraction of the target latency for which a request waits for the owner of its key. */
const OWNER_WAIT_FRACTION = 0.5;

/**
 * The same while the owner reports that the key is being moved to its next owner, which mostly takes less than
 * 500 ms.
 */
const MOVE_WAIT_FACTOR = 2;

/**
 * Delay before a request is sent to the owner of its key again. The view changes when a move ends, so a longer delay is
 * enough during one.
 */
const OWNER_RETRY_DELAY_MS = 100;
const MOVE_RETRY_DELAY_MS = 300;

/**
 * Determines how long a request may wait for the owner of its key. It waits from now unless it already began to. If the
 * key is known to have another owner in `ownedInMs`, it waits for that one if there is time to serve it then, and not at
 * all otherwise.
 */
export function findOwnerWait(
  { waitingMs, lastRefusal, route, dueMs }: MeshExchange,
  nowMs: number,
  ownedInMs: number | undefined,
): OwnerWait {
  const sinceMs = waitingMs ?? nowMs;
  if (ownedInMs !== undefined) {
    const ownedMs = nowMs + ownedInMs;
    const isInTime = ownedMs + route.targetLatencyMs <= dueMs;
    return { sinceMs, untilMs: isInTime ? ownedMs : nowMs, retryMs: MOVE_RETRY_DELAY_MS };
  }
  const isMoving = lastRefusal === 'moving';
  return {
    sinceMs,
    untilMs: sinceMs + route.targetLatencyMs * (isMoving ? MOVE_WAIT_FACTOR : OWNER_WAIT_FRACTION),
    retryMs: isMoving ? MOVE_RETRY_DELAY_MS : OWNER_RETRY_DELAY_MS,
  };
}
