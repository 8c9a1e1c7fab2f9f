import { Left, Right, type Either } from 'purify-ts';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { checkChange } from '#catalogue/CheckChange.js';
import { diffCatalogues } from '#catalogue/DiffCatalogues.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import type { AdminAuthor } from '#admin/AdminAuthor.js';
import { AdminError } from '#admin/AdminError.js';
import type { PlannedChange } from '#admin/PlannedChange.js';

const EMPTY: Catalogue = { regions: [], services: [], owners: [], entries: [] };

/**
 * Validates the text of a new catalogue and checks that its author may make every change in it. Returns 422 with the
 * faults of the text, or 403 with the changes that are not permitted. Any operator may send the first catalogue.
 */
export function planCatalogueChange(
  before: Catalogue | undefined,
  text: string,
  author: AdminAuthor,
): Either<AdminError, PlannedChange> {
  return parseCatalogue(text, 'catalogue')
    .mapLeft((faults) => new AdminError(422, 'faults', 'the catalogue has faults', { faults }))
    .chain((catalogue) => {
      const refused = before === undefined ? [] : checkChange(before, catalogue, author.name);
      if (refused.length > 0)
        return Left(new AdminError(403, 'notPermitted', 'the change is not permitted', { refused }));
      return Right({ catalogue, changes: diffCatalogues(before ?? EMPTY, catalogue) });
    });
}
