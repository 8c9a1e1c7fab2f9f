/** Square of twice the mean of the positive part of a standard normal variable. */
const SPREAD_FACTOR = 0.64;

/**
 * Expected time until a slot is free for one more request at a server with about `busy` requests, in milliseconds. The
 * number of requests is uncertain with the given variance, so that a wait is expected also if the mean leaves a slot free:
 * the result approximates the mean of the positive part of a normal variable.
 */
export function estimateQueueMs(busy: number, variance: number, slots: number, serviceMs: number): number {
  const excess = busy + 1 - slots;
  const waiting = (excess + Math.sqrt(excess * excess + SPREAD_FACTOR * variance)) / 2;
  return (waiting * serviceMs) / slots;
}
