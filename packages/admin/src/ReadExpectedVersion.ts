import { Left, Right, type Either } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';

/** Reads the version that a change is based on from `If-Match`, for example `"12"`; 428 without one. */
export function readExpectedVersion(ifMatch: string): Either<AdminError, number> {
  if (ifMatch === '')
    return Left(
      new AdminError(428, 'ifMatchMissing', 'send If-Match with the version that the change is based on'),
    );
  const version = /^"(\d{1,15})"$/.exec(ifMatch)?.[1];
  if (version === undefined)
    return Left(new AdminError(400, 'badIfMatch', 'If-Match must be one version in double quotes'));
  return Right(Number(version));
}
