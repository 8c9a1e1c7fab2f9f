import type { ExitCode } from '#cli/ExitCode.js';

/** Exit codes by meaning. */
export const exitCodes = Object.freeze({
  done: 0,
  failed: 1,
  usage: 2,
  faults: 3,
  conflict: 4,
  unreachable: 5,
}) satisfies Readonly<Record<string, ExitCode>>;
