import { Left, Right, type Either } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';

/** Reads from `If-Match`, for example `"12"`, the version that a change is based on; 428 if the header is missing. */
export function readExpectedVersion(ifMatch: string): Either<AdminError, number> {
  if (ifMatch === '')
    return Left(
      new AdminError(
        428,
        'ifMatchMissing',
        'the header If-Match must have the version that the change is based on',
      ),
    );
  const version = /^"(\d{1,15})"$/.exec(ifMatch)?.[1];
  if (version === undefined)
    return Left(new AdminError(400, 'badIfMatch', 'If-Match must be one version in double quotes'));
  return Right(Number(version));
}
