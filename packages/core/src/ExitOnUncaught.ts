import { describeFault } from '#core/DescribeFault.js';
import type { Logger } from '#core/Logger.js';

/** Time for log lines to be written before the process ends, in milliseconds. */
const FLUSH_MS = 300;

const FAILED = 1;

/** How a process is ended. */
interface Ending {
  readonly logger: Logger;
  /** Ends all work at once, so that nothing acts on a state that may be half updated. */
  readonly halt: () => void;
  /** Calls `done` once log lines are written. */
  readonly flush: (done: () => void) => void;
}

/** Ends the process with status 1 after an error that nothing caught, or a rejection that nothing handled. */
export function exitOnUncaught({ logger, halt, flush }: Ending): void {
  let isEnding = false;
  process.on('uncaughtException', (err, origin) => {
    if (isEnding) return;
    isEnding = true;
    logger.log('uncaught', { ...describeFault(err), origin });
    const end = (): never => process.exit(FAILED);
    setTimeout(end, FLUSH_MS);
    try {
      halt();
    } catch (failure) {
      logger.log('haltFailed', describeFault(failure));
    }
    flush(end);
  });
}
