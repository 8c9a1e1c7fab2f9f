import type { Entry } from '#catalogue/Entry.js';

/** Names an entry as `owner/service/class`, as in the path of the administration API. */
export function formatEntryName({
  owner,
  service,
  class: className,
}: Pick<Entry, 'owner' | 'service' | 'class'>): string {
  return `${owner}/${service}/${className}`;
}
