import { isNearlyFull } from '#mesh/IsNearlyFull.js';
import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';

/** Shortest time between two surveys while requests wait or soon will. */
const SURVEY_INTERVAL_MS = 600;

/** Longest time between two surveys while requests wait. With 2.5 s, room that became free was found too late. */
const MAX_SURVEY_INTERVAL_MS = 1_200;

/** An owner whose slots are busy for this fraction of the time surveys the others, too, but less often. */
const BUSY_FRACTION = 0.35;
const BUSY_SURVEY_INTERVAL_MS = 2_500;

const MS_PER_SECOND = 1_000;

/**
 * Time that must pass between two surveys of the other owners' load, in milliseconds; undefined if none is needed. After
 * `fruitless` surveys in a row that a nearly full owner made in vain, it is longer: a survey is a call to each owner, and bytes
 * between failure domains are billed.
 */
export function computeSurveyInterval(
  load: Pick<OwnerLoadReport, 'workMsPerSecond' | 'slots' | 'waitMs'>,
  fruitless: number,
): number | undefined {
  if (isNearlyFull(load)) return Math.min(MAX_SURVEY_INTERVAL_MS, SURVEY_INTERVAL_MS * 2 ** fruitless);
  const utilization = load.workMsPerSecond / (load.slots * MS_PER_SECOND);
  return utilization >= BUSY_FRACTION ? BUSY_SURVEY_INTERVAL_MS : undefined;
}
