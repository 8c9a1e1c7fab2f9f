import { UsageError } from '#cli/UsageError.js';

/** Reads an option that is a whole number of at least 0; `fallback` if it is not given. */
export function readCount(
  options: Readonly<Record<string, unknown>>,
  name: string,
  fallback: number,
): number {
  const value = options[name] ?? fallback;
  if (typeof value === 'number' && Number.isInteger(value) && value >= 0) return value;
  throw new UsageError(`--${name} must be a whole number`);
}
