import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { parse } from 'jsonc-parser';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { formatFault } from '#catalogue/FormatFault.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import type { Instance } from '#settings/Instance.js';

/** Reads `catalogue.jsonc` and `deployment.jsonc` of a folder; throws with the faults of an invalid catalogue. */
export function readDeployment(folder: string): {
  readonly catalogue: Catalogue;
  readonly instances: readonly Instance[];
} {
  const file = join(folder, 'catalogue.jsonc');
  const parsed = parseCatalogue(readFileSync(file, 'utf8'), file);
  const catalogue = parsed.caseOf({
    Left: (faults) => {
      throw new Error(faults.map(formatFault).join('\n'));
    },
    Right: (value) => value,
  });
  const text = readFileSync(join(folder, 'deployment.jsonc'), 'utf8');
  const deployment = parse(text) as { readonly instances: readonly Instance[] };
  return { catalogue, instances: deployment.instances };
}
