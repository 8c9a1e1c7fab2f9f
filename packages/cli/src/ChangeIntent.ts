import type { VersionedIntent } from '#admin/VersionedIntent.js';
import type { AdminClient } from '#cli/AdminClient.js';
import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';

// Withdrawals of different names are independent, so a change that lost against another one is tried again.
const MAX_ATTEMPTS = 5;

/** Changes the newest version of the operator intent; retries after a conflict. */
export async function changeIntent(
  client: AdminClient,
  method: 'PUT' | 'DELETE',
  path: string,
): Promise<VersionedIntent> {
  for (let attempt = 1; ; attempt += 1) {
    const { version: ifVersion } = await client.send('/admin/v1/withdrawals');
    try {
      return (await client.send<VersionedIntent>(path, { method, ifVersion })).body;
    } catch (error) {
      const isConflict = error instanceof CommandError && error.exitCode === exitCodes.conflict;
      if (!isConflict || attempt === MAX_ATTEMPTS) throw error;
    }
  }
}
