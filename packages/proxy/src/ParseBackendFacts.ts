import { Left, Right, type Either } from 'purify-ts';
import type { BackendFacts } from '#proxy/BackendFacts.js';

const MAX_SLOTS = 10_000;

/** Parses the JSON body of an announcement; the error is a message that names the invalid fields. */
export function parseBackendFacts(text: string): Either<string, BackendFacts> {
  const value = parseObject(text);
  if (value === undefined) return Left('the announcement is not a JSON object');
  const faults = [
    ...['host', 'service', 'incarnation'].filter(
      (name) => typeof value[name] !== 'string' || value[name] === '',
    ),
    ...['port', 'slots', 'connections'].filter((name) => !isCount(value[name])),
    ...['checksToken', 'leaving'].filter((name) => typeof value[name] !== 'boolean'),
  ];
  if (typeof value.reportedLoad !== 'number') faults.push('reportedLoad');
  if (faults.length > 0) return Left(`missing or invalid fields: ${faults.join(', ')}`);
  return Right(value as unknown as BackendFacts);
}

function parseObject(text: string): Readonly<Record<string, unknown>> | undefined {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? (value as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

function isCount(value: unknown): boolean {
  return Number.isInteger(value) && Number(value) > 0 && Number(value) <= Math.max(MAX_SLOTS, 65_535);
}
