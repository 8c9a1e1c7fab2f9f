import createDebug from 'debug';
import { formatLogLine } from '#core/FormatLogLine.js';
import type { LogFields } from '#core/LogFields.js';

/** Writes events as lines of `key=value` pairs under the log name `amaranthrouter:<name>`. */
export class Logger {
  private readonly write: createDebug.Debugger;

  public constructor(name: string) {
    this.write = createDebug(`amaranthrouter:${name}`);
  }

  /** Logs one event. */
  public log(event: string, fields: LogFields = {}): void {
    if (!this.write.enabled) return;
    this.write('%s', formatLogLine(event, fields));
  }
}
