import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Whether a fault shows that the order was routed by an old cell: its target is no owner any more, or is not reachable. */
export function isCellOutdated({ code, step }: RouterErrorFields): boolean {
  return code === 'notOwner' || step === 'forward';
}
