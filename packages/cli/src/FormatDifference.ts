import type { RouteDifference } from '#routes/RouteDifference.js';

/** Formats a difference from the version in force as one line, and marks one that permits more than before. */
export function formatDifference({ subject, field, before, after, loosens }: RouteDifference): string {
  const sign = before === undefined ? '+' : after === undefined ? '-' : '~';
  const name = 'name' in subject ? `${subject.kind} ${subject.name}` : subject.kind;
  const change = field === undefined ? '' : ` ${field}: ${before ?? ''} -> ${after ?? ''}`;
  return `${sign} ${name}${change}${loosens ? ' (permits more)' : ''}`;
}
