import { timingSafeEqual } from 'node:crypto';
import { Left, Right, type Either } from 'purify-ts';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { AdminAuthor } from '#admin/AdminAuthor.js';
import { AdminError } from '#admin/AdminError.js';
import { hashToken } from '#admin/HashToken.js';

/** Name of the author who sends the first catalogue. */
const FIRST_AUTHOR = 'bootstrap';

/**
 * Finds the owner that a bearer token proves; 401 without one. While there is no catalogue, and hence no owner, the
 * fleet key is accepted, so that an operator can send the first one.
 */
export function authenticateCall(
  authorization: string,
  catalogue: Catalogue | undefined,
  fleetKey: string,
): Either<AdminError, AdminAuthor> {
  const token = /^Bearer ([\x21-\x7e]{1,1024})$/i.exec(authorization)?.[1];
  if (token === undefined) return Left(refuse('send a bearer token'));
  const digest = hashToken(token);
  const author = catalogue === undefined ? findFirstAuthor(digest, fleetKey) : findOwner(digest, catalogue);
  return author === undefined ? Left(refuse('the token is not known')) : Right(author);
}

function findFirstAuthor(digest: string, fleetKey: string): AdminAuthor | undefined {
  return areEqual(digest, hashToken(fleetKey)) ? { name: FIRST_AUTHOR, operator: true } : undefined;
}

// Compares every digest, so that the time does not depend on the position of the owner.
function findOwner(digest: string, { owners }: Catalogue): AdminAuthor | undefined {
  const found = owners.filter(
    (owner) => owner.tokenHashes.filter((each) => areEqual(digest, each)).length > 0,
  );
  return found[0];
}

function areEqual(left: string, right: string): boolean {
  return timingSafeEqual(Buffer.from(left), Buffer.from(right));
}

function refuse(message: string): AdminError {
  return new AdminError(401, 'notAuthenticated', message);
}
