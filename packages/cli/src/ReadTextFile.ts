import { readFileSync } from 'node:fs';
import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';

/** Reads a file as UTF-8; throws a `CommandError` if it cannot be read. */
export function readTextFile(file: string): string {
  try {
    return readFileSync(file, 'utf8');
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    const fields = { code: 'unreadable', step: 'settings', peer: file } as const;
    throw new CommandError(exitCodes.failed, fields, `${file} cannot be read: ${reason}`);
  }
}
