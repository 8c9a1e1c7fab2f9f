import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';

/** Average wait above which an owner surveys the load of the others, to give keys to some of them. */
const LONG_WAIT_MS = 80;

/**
 * Fraction of the time for which the slots are busy from which an owner surveys the others as often as if requests waited:
 * keys are to move before a queue forms.
 */
const NEARLY_FULL_FRACTION = 0.75;

/** Shortest time between two surveys while requests wait or soon will. */
const SURVEY_INTERVAL_MS = 600;

/** An owner whose slots are busy for this fraction of the time surveys the others, too, but less often. */
const BUSY_FRACTION = 0.35;
const BUSY_SURVEY_INTERVAL_MS = 2_500;

const MS_PER_SECOND = 1_000;

/** Time that must pass between two surveys of the other owners' load, in milliseconds; undefined if none is needed. */
export function computeSurveyInterval({
  workMsPerSecond,
  slots,
  waitMs,
}: Pick<OwnerLoadReport, 'workMsPerSecond' | 'slots' | 'waitMs'>): number | undefined {
  const utilization = workMsPerSecond / (slots * MS_PER_SECOND);
  if (waitMs >= LONG_WAIT_MS || utilization >= NEARLY_FULL_FRACTION) return SURVEY_INTERVAL_MS;
  return utilization >= BUSY_FRACTION ? BUSY_SURVEY_INTERVAL_MS : undefined;
}
