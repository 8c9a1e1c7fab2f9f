import type { Catalogue } from '#catalogue/Catalogue.js';
import type { LoadClass } from '#load/LoadClass.js';

const MAX_RETRIES = 12;

/** Creates a load mix with one class for each catalogue entry, weighted by its share. */
export function createMix(catalogue: Catalogue): readonly LoadClass[] {
  return catalogue.entries.map((entry) => {
    const service = catalogue.services.find(({ name }) => name === entry.service);
    return {
      team: entry.owner,
      class: entry.class,
      service: entry.service,
      weight: entry.limits.share,
      keyed: service?.keyed === true || !entry.repeatable,
      repeatable: entry.repeatable,
      deadlineMs: entry.limits.defaultDeadlineMs,
      sendsReceipts: entry.evidence === 'receipt',
      maxRetries: MAX_RETRIES,
    };
  });
}
