const POLL_MS = 50;

/** Waits until a condition holds; fails with `what` after `timeoutMs`. */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endMs) throw new Error(`not in time: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
