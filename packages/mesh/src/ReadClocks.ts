import type { Clock } from '#core/Clock.js';
import type { ClockReading } from '#mesh/ClockReading.js';

/** Reads both clocks. */
export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs() };
}
