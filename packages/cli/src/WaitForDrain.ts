import type { DrainProgress } from '#admin/DrainProgress.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';
import type { Terminal } from '#cli/Terminal.js';

const POLL_INTERVAL_MS = 1_000;

/** Waits until everything that was withdrawn is drained, and prints the progress whenever it changes. */
export async function waitForDrain(
  client: AdminClient,
  terminal: Terminal,
  path: string,
  timeoutMs: number,
): Promise<DrainProgress> {
  const endMs = terminal.nowMs() + timeoutMs;
  let lastLine = '';
  for (;;) {
    const { body } = await client.send<DrainProgress>(path);
    const line = `${body.shardsLeft} shards and ${body.requestsInFlight} requests left on ${body.members} members`;
    if (line !== lastLine) terminal.printError(line);
    lastLine = line;
    if (body.done) return body;
    if (terminal.nowMs() >= endMs) throw reportTimeout(path, line);
    await terminal.wait(POLL_INTERVAL_MS);
  }
}

function reportTimeout(path: string, line: string): CommandError {
  const fields = { code: 'drainTimeout', step: 'move', peer: path } as const;
  return new CommandError(
    exitCodes.failed,
    fields,
    `the drain was not complete in time and continues: ${line}`,
  );
}
