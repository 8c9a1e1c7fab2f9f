import { Logger } from '#core/Logger.js';
import type { LogFields } from '#core/LogFields.js';

interface LogRecord {
  readonly event: string;
  readonly fields: LogFields;
}

/** Logger that keeps all records in memory. */
export class RecordingLogger extends Logger {
  public readonly records: LogRecord[] = [];

  public override log(event: string, fields: LogFields = {}): void {
    this.records.push({ event, fields });
  }
}
