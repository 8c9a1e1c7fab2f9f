import { Left, Right, type Either } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';
import type { PageRequest } from '#admin/PageRequest.js';

const DEFAULT_LIMIT = 100;
const MAX_LIMIT = 500;

/** Reads `limit` and `after` from the query. */
export function readPageRequest(query: Readonly<Record<string, string>>): Either<AdminError, PageRequest> {
  const limit = Number(query.limit ?? DEFAULT_LIMIT);
  if (Number.isInteger(limit) && limit >= 1 && limit <= MAX_LIMIT)
    return Right({ after: query.after ?? '', limit });
  return Left(new AdminError(400, 'badLimit', `"limit" must be an integer from 1 to ${MAX_LIMIT}`));
}
