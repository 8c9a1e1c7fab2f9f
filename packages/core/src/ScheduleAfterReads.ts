import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';

/**
 * Runs `callback` once after `delayMs`, but not before the sockets have been read. After a stall of the process, timers
 * run before the sockets, and a plain timer would time out what has already arrived.
 */
export function scheduleAfterReads(clock: Clock, delayMs: number, callback: () => void): Cancel {
  let immediate: NodeJS.Immediate | undefined;
  const cancelTimer = clock.schedule(delayMs, () => {
    immediate = setImmediate(callback);
  });
  return () => {
    cancelTimer();
    clearImmediate(immediate);
  };
}
