import { describeFault } from '#core/DescribeFault.js';
import type { Logger } from '#core/Logger.js';

/** Longest time that the process waits for log lines to be written. */
const FLUSH_MS = 300;

const EXIT_STATUS_FAILED = 1;

/** Callbacks that run before the process exits. */
interface ExitHooks {
  readonly logger: Logger;
  /** Stops all work at once, so that nothing acts on a state that may be inconsistent. */
  readonly halt: () => void;
  /** Calls `done` when all log lines are written. */
  readonly flush: (done: () => void) => void;
}

/** Logs an uncaught error or unhandled rejection and exits with status 1. */
export function exitOnUncaught({ logger, halt, flush }: ExitHooks): void {
  let isEnding = false;
  process.on('uncaughtException', (err, origin) => {
    if (isEnding) return;
    isEnding = true;
    logger.log('uncaught', { ...describeFault(err), origin });
    const end = (): never => process.exit(EXIT_STATUS_FAILED);
    setTimeout(end, FLUSH_MS);
    try {
      halt();
    } catch (failure) {
      logger.log('haltFailed', describeFault(failure));
    }
    flush(end);
  });
}
