import createDebug from 'debug';
import { format } from 'node:util';

/** Enables the logs of all packages and passes each event to `write` as one line with its wall-clock time. */
export function sendLogsTo(write: (line: string) => void): void {
  Object.assign(createDebug.inspectOpts ?? {}, { hideDate: true, colors: false });
  createDebug.log = (...args: readonly unknown[]) => {
    write(`time=${new Date().toISOString()} log=${format(...args)}\n`);
  };
  createDebug.enable('amaranthrouter:*');
}
