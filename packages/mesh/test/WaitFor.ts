import { setTimeout as sleep } from 'node:timers/promises';

const WAIT_MS = 5_000;

const CHECK_INTERVAL_MS = 2;

/** Waits until `condition` holds, for a few seconds at most; the caller checks the outcome. */
export async function waitFor(condition: () => boolean): Promise<void> {
  const endMs = performance.now() + WAIT_MS;
  while (!condition() && performance.now() < endMs) await sleep(CHECK_INTERVAL_MS);
}
