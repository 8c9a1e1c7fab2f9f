import type { Entry } from '#catalogue/Entry.js';

/** Returns the name of an entry, `owner/service/class`, which is also its path in the administration API. */
export function formatEntryName({
  owner,
  service,
  class: className,
}: Pick<Entry, 'owner' | 'service' | 'class'>): string {
  return `${owner}/${service}/${className}`;
}
