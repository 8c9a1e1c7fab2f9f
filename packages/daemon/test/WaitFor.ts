const POLL_MS = 50;

/** Polls a condition until it holds; rejects with a message that names `what` after `timeoutMs`. */
export async function waitFor(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs = 30_000,
): Promise<void> {
  const endMs = Date.now() + timeoutMs;
  while (!(await condition())) {
    if (Date.now() > endMs) throw new Error(`timed out: ${what}`);
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}
