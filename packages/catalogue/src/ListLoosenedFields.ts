import type { Entry } from '#catalogue/Entry.js';

const LOOSENED_WHEN_RAISED = [
  'ratePerSecond',
  'burst',
  'concurrency',
  'share',
  'defaultDeadlineMs',
  'maxDeadlineMs',
  'maxBodyBytes',
  'interRegionBytesPerSecond',
] as const;

/** Lists the fields in which `after` permits more than `before`. */
export function listLoosenedFields(before: Entry, after: Entry): readonly string[] {
  const raised = LOOSENED_WHEN_RAISED.filter((field) => after.limits[field] > before.limits[field]).map(
    (field) => `limits.${field}`,
  );
  const others: readonly (readonly [string, boolean])[] = [
    ['limits.priority', after.limits.priority < before.limits.priority],
    ['homeRegions', widensRegions(before.homeRegions, after.homeRegions)],
    ['repeatable', after.repeatable && !before.repeatable],
    ['evidence', after.evidence === 'sent' && before.evidence === 'receipt'],
  ];
  return [...raised, ...others.filter(([, loosened]) => loosened).map(([field]) => field)];
}

// An empty list permits all regions.
function widensRegions(before: readonly string[], after: readonly string[]): boolean {
  if (before.length === 0) return false;
  return after.length === 0 || after.some((region) => !before.includes(region));
}
