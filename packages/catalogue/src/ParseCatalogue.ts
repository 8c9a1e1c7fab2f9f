import { Ajv } from 'ajv';
import { Left, Right, type Either } from 'purify-ts';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { CatalogueFault } from '#catalogue/CatalogueFault.js';
import { checkCatalogue } from '#catalogue/CheckCatalogue.js';
import { maxFaults } from '#catalogue/MaxFaults.js';
import { parseDocument } from '#catalogue/ParseDocument.js';
import schema from '../schemas/catalogue.json' with { type: 'json' };

const validate = new Ajv({ allErrors: true, useDefaults: true, verbose: true }).compile<Catalogue>(schema);

/** Parses a catalogue in JSON with comments and fills in defaults, or returns its faults with their positions. */
export function parseCatalogue(text: string, fileName: string): Either<readonly CatalogueFault[], Catalogue> {
  return parseDocument(text, fileName, validate).chain(({ value, faultAt }) => {
    const faults = checkCatalogue(value)
      .slice(0, maxFaults)
      .map(({ path, message }) => faultAt(path, message));
    return faults.length > 0 ? Left(faults) : Right(value);
  });
}
