import { Ajv } from 'ajv';
import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import schema from '../schemas/catalogue.json' with { type: 'json' };

const validate = new Ajv({ useDefaults: true }).compile<Catalogue>(schema);

/**
 * Validates a catalogue that the store accepted, from parsed JSON, against the schema. Leaves out positions and
 * semantic checks, since the writer made them: `parseCatalogue` takes about 60 ms for 1,000 entries and would delay
 * requests.
 */
export function decodeCatalogue(value: unknown, peer: string): Either<RouterError, Catalogue> {
  if (validate(value)) return Right(value);
  const error = validate.errors?.[0];
  const message = `catalogue from ${peer}: ${error?.instancePath ?? ''} ${error?.message ?? 'is invalid'}`;
  return Left(
    new RouterError({ code: 'badCatalogue', step: 'catalogue', peer, ran: 'not run', status: 502 }, message),
  );
}
