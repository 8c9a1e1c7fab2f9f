import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';

/** Average wait from which an owner gives keys to others soon. */
const LONG_WAIT_MS = 80;

/**
 * Fraction of the time for which the slots are busy from which an owner is treated as if requests waited: keys are to
 * move before a queue forms.
 */
const NEARLY_FULL_FRACTION = 0.75;

const MS_PER_SECOND = 1_000;

/** Whether requests wait at an owner, or soon will. */
export function isNearlyFull({
  workMsPerSecond,
  slots,
  waitMs,
}: Pick<OwnerLoadReport, 'workMsPerSecond' | 'slots' | 'waitMs'>): boolean {
  return waitMs >= LONG_WAIT_MS || workMsPerSecond / (slots * MS_PER_SECOND) >= NEARLY_FULL_FRACTION;
}
