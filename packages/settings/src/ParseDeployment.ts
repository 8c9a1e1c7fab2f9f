import { Ajv } from 'ajv';
import { Left, Right, type Either } from 'purify-ts';
import { parseDocument } from '#catalogue/ParseDocument.js';
import type { SemanticFault } from '#catalogue/SemanticFault.js';
import type { Deployment } from '#settings/Deployment.js';
import type { SettingsFault } from '#settings/SettingsFault.js';
import schema from '../schemas/deployment.json' with { type: 'json' };

const validate = new Ajv({ allErrors: true, verbose: true }).compile<Deployment>(schema);

/** Parses a deployment in JSON with comments, or returns all faults with their positions. */
export function parseDeployment(
  text: string,
  fileName: string,
): Either<readonly SettingsFault[], Deployment> {
  return parseDocument(text, fileName, validate).chain(({ value, faultAt }) => {
    const faults = findDuplicateIds(value).map(({ path, message }) => faultAt(path, message));
    return faults.length > 0 ? Left(faults) : Right(value);
  });
}

function findDuplicateIds({ instances }: Deployment): readonly SemanticFault[] {
  const ids = instances.map((instance) => instance.serverId);
  return ids.flatMap((id, index) =>
    ids.indexOf(id) < index
      ? [{ path: ['instances', index, 'serverId'], message: `"${id}" is used twice` }]
      : [],
  );
}
