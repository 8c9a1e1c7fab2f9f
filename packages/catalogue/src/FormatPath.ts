import type { DocumentPath } from '#catalogue/DocumentPath.js';

/** Formats a path, for example as `entries[2].limits.burst`. */
export function formatPath(path: DocumentPath): string {
  return path
    .map((step) => (typeof step === 'number' ? `[${step}]` : `.${step}`))
    .join('')
    .replace(/^\./, '');
}
