import type { DocumentPath } from '#catalogue/DocumentPath.js';
import type { Entry } from '#catalogue/Entry.js';
import type { SemanticFault } from '#catalogue/SemanticFault.js';

// Request, response and receipt take 3 ms each between caller and daemon, and a round trip between regions takes 40 ms.
const MIN_RECEIPT_DEADLINE_MS = 50;

// The shortest time in flight is one round trip within a region, with 0.5 ms each way.
const MIN_IN_FLIGHT_S = 0.001;

/** Returns the errors of one entry whose limits contradict each other or its other fields. */
export function checkEntry(entry: Entry, path: DocumentPath): readonly SemanticFault[] {
  const messages = [...checkDeadlines(entry), ...checkRates(entry), ...checkInterRegionBytes(entry)];
  return messages.map(([field, message]) => ({ path: [...path, 'limits', field], message }));
}

type FieldMessage = readonly [field: string, message: string];

function checkDeadlines({ evidence, limits }: Entry): readonly FieldMessage[] {
  const { defaultDeadlineMs, maxDeadlineMs } = limits;
  if (defaultDeadlineMs > maxDeadlineMs)
    return [['defaultDeadlineMs', `is above maxDeadlineMs (${maxDeadlineMs})`]];
  if (evidence === 'receipt' && defaultDeadlineMs < MIN_RECEIPT_DEADLINE_MS)
    return [
      [
        'defaultDeadlineMs',
        `is too short for evidence "receipt", which takes up to ${MIN_RECEIPT_DEADLINE_MS} ms`,
      ],
    ];
  return [];
}

function checkRates({ limits }: Entry): readonly FieldMessage[] {
  const { ratePerSecond, burst, concurrency, maxDeadlineMs } = limits;
  const reachable = Math.ceil(burst + (ratePerSecond * maxDeadlineMs) / 1000);
  const needed = Math.ceil(ratePerSecond * MIN_IN_FLIGHT_S);
  if (concurrency > reachable) {
    const reason = `burst and rate admit at most ${reachable} requests within maxDeadlineMs`;
    return [['concurrency', `cannot be reached: ${reason}`]];
  }
  if (concurrency < needed)
    return [['concurrency', `is too low for ratePerSecond, which needs at least ${needed}`]];
  return [];
}

function checkInterRegionBytes({ homeRegions, limits }: Entry): readonly FieldMessage[] {
  const { interRegionBytesPerSecond, maxBodyBytes, maxDeadlineMs } = limits;
  if (interRegionBytesPerSecond === 0) return [];
  if (homeRegions.length === 1)
    return [['interRegionBytesPerSecond', 'has no effect with a single home region; must be 0']];
  const passable = Math.floor((interRegionBytesPerSecond * maxDeadlineMs) / 1000);
  if (passable < maxBodyBytes)
    return [
      ['interRegionBytesPerSecond', `lets ${passable} B pass within maxDeadlineMs, less than maxBodyBytes`],
    ];
  return [];
}
