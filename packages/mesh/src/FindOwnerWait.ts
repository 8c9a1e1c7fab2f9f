import type { MeshExchange } from '#mesh/MeshExchange.js';
import type { OwnerWait } from '#mesh/OwnerWait.js';

/** Part of the target latency that a request waits for the owner of its key. */
const OWNER_WAIT_PART = 0.5;

/** The same while the owner says that the key is on its way to the next one, which mostly takes less than 500 ms. */
const MOVE_WAIT_PART = 2;

/** Pause between two looks for the owner of a key, in milliseconds. A move that ends shows in the view. */
const OWNER_RETRY_MS = 100;
const MOVE_RETRY_MS = 300;

/** How long a request may wait for the owner of its key, which it began to do at `sinceMs` at the latest. */
export function findOwnerWait({ waitingMs, lastRefusal, route }: MeshExchange, nowMs: number): OwnerWait {
  const sinceMs = waitingMs ?? nowMs;
  const isMoving = lastRefusal === 'moving';
  return {
    sinceMs,
    untilMs: sinceMs + route.targetLatencyMs * (isMoving ? MOVE_WAIT_PART : OWNER_WAIT_PART),
    retryMs: isMoving ? MOVE_RETRY_MS : OWNER_RETRY_MS,
  };
}
