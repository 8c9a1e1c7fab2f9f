import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** Formats differences between catalogues, one line for each part and one for each changed field. */
export function formatChanges(changes: readonly CatalogueChange[]): string {
  if (changes.length === 0) return 'no differences';
  return changes.flatMap(formatChange).join('\n');
}

function formatChange({ part, kind, name, fields }: CatalogueChange): readonly string[] {
  const sign = { added: '+', removed: '-', changed: '~' }[kind];
  const lines = fields.map(({ field, before, after }) => `    ${field}: ${before} -> ${after}`);
  return [`${sign} ${part} ${name}`, ...lines];
}
