import { UsageError } from '#cli/UsageError.js';

/** Reads an option that must be a non-negative integer; returns `defaultValue` if it is missing. */
export function readCount(
  options: Readonly<Record<string, unknown>>,
  name: string,
  defaultValue: number,
): number {
  const value = options[name] ?? defaultValue;
  if (typeof value === 'number' && Number.isInteger(value) && value >= 0) return value;
  throw new UsageError(`--${name} must be a non-negative integer`);
}
