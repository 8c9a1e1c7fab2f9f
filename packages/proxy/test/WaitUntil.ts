import { setTimeout } from 'node:timers/promises';

const POLL_MS = 5;
const TIMEOUT_MS = 20_000;

/** Waits until a condition holds; fails with `what` after 20 s. */
export async function waitUntil(what: string, condition: () => Promise<boolean> | boolean): Promise<void> {
  const endMs = Date.now() + TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > endMs) throw new Error(`not in time: ${what}`);
    await setTimeout(POLL_MS);
  }
}
