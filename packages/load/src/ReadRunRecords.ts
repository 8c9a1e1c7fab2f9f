import { readFileSync } from 'node:fs';
import type { RunRecord } from '#standin/RunRecord.js';

/** Reads the run records that a stand-in backend server appended to a file; an unfinished run has `endMs` 0. */
export function readRunRecords(file: string): readonly RunRecord[] {
  const lines = readFileSync(file, 'utf8').split('\n');
  const runs = new Map<string, RunRecord>();
  for (const line of lines) {
    // The last line is incomplete if the process was killed while writing it.
    if (!line.endsWith('}')) continue;
    const record = JSON.parse(line) as RunRecord;
    runs.set(record.orderId, record);
  }
  return [...runs.values()];
}
