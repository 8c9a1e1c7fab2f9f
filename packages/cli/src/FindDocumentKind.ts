import { parse } from 'jsonc-parser';

/** Determines from its properties whether a document is a catalogue, a deployment, settings or a configuration of routes. */
export function findDocumentKind(text: string): 'catalogue' | 'deployment' | 'settings' | 'routes' {
  const value: unknown = parse(text);
  if (typeof value !== 'object' || value === null) return 'settings';
  if ('listeners' in value) return 'routes';
  if ('entries' in value || 'services' in value || 'owners' in value) return 'catalogue';
  return 'instances' in value ? 'deployment' : 'settings';
}
