import type { BodyComparison } from '#once/BodyComparison.js';
import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';

/** Compares the body hash of a repeat (SHA-256, hex) with the record of the original. */
export function compareBody(record: IdempotencyRecord, bodyHash: string): BodyComparison {
  if (record.bodyHash === bodyHash && bodyHash !== '') return { kind: 'same' };
  if (record.bodyHash !== '' && bodyHash !== '') return MISMATCH;
  // If a body was never read to its end, its hash is missing, and nothing proves that the two requests are equal.
  return record.state === 'running' ? { kind: 'pending' } : INCOMPARABLE;
}

const MISMATCH: BodyComparison = {
  kind: 'refuse',
  error: { code: 'idBodyMismatch', step: 'once', peer: '', ran: 'not run', status: 422 },
};

const INCOMPARABLE: BodyComparison = {
  kind: 'refuse',
  error: { code: 'unknownOutcome', step: 'once', peer: '', ran: 'unknown', status: 409 },
};
