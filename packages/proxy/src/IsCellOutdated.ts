import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/**
 * Returns whether an error shows that the request's cell is missing or outdated: the target no longer owns the key, or
 * the target cannot be reached.
 */
export function isCellOutdated({ code, step }: RouterErrorFields): boolean {
  return code === 'noCell' || code === 'notOwner' || step === 'forward';
}
