import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Whether a fault shows that the cell of the order is missing or old: its target is no owner any more, or is not
 * reachable.
 */
export function isCellOutdated({ code, step }: RouterErrorFields): boolean {
  return code === 'noCell' || code === 'notOwner' || step === 'forward';
}
