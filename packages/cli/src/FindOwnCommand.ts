import { createRequire } from 'node:module';

/** Returns the command that starts this program again: the single executable, or Node.js with the script. */
export function findOwnCommand(): readonly string[] {
  const require = createRequire(process.execPath);
  const sea = require('node:sea') as { readonly isSea: () => boolean };
  if (sea.isSea()) return [process.execPath];
  return [process.execPath, '--disable-warning=ExperimentalWarning', process.argv[1] ?? ''];
}
