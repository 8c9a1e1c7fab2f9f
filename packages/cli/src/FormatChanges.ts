import type { CatalogueChange } from '#catalogue/CatalogueChange.js';

/** Formats the differences between catalogues: a line for each changed part, and one for each changed field of it. */
export function formatChanges(changes: readonly CatalogueChange[]): string {
  if (changes.length === 0) return 'no differences';
  return changes.flatMap(formatChange).join('\n');
}

function formatChange({ part, kind, name, fields }: CatalogueChange): readonly string[] {
  const sign = { added: '+', removed: '-', changed: '~' }[kind];
  const lines = fields.map(({ field, before, after }) => `    ${field}: ${before} -> ${after}`);
  return [`${sign} ${part} ${name}`, ...lines];
}
