import { timingSafeEqual } from 'node:crypto';
import { Left, Right, type Either } from 'purify-ts';
import type { Catalogue } from '#catalogue/Catalogue.js';
import type { AdminAuthor } from '#admin/AdminAuthor.js';
import { AdminError } from '#admin/AdminError.js';
import { hashToken } from '#admin/HashToken.js';

/** Author name of the first catalogue, which is sent with the fleet key. */
const BOOTSTRAP_AUTHOR = 'bootstrap';

/**
 * Finds the owner to whom a bearer token belongs; 401 if the token is missing or unknown. While there is no catalogue,
 * and therefore no owner, the fleet key is accepted, so that an operator can send the first catalogue.
 */
export function authenticateCall(
  authorization: string,
  catalogue: Catalogue | undefined,
  fleetKey: string,
): Either<AdminError, AdminAuthor> {
  const token = /^Bearer ([\x21-\x7e]{1,1024})$/i.exec(authorization)?.[1];
  if (token === undefined) return Left(refuse('the header Authorization must have a bearer token'));
  const digest = hashToken(token);
  const author =
    catalogue === undefined ? findBootstrapAuthor(digest, fleetKey) : findOwner(digest, catalogue);
  return author === undefined ? Left(refuse('the token is unknown')) : Right(author);
}

function findBootstrapAuthor(digest: string, fleetKey: string): AdminAuthor | undefined {
  return areEqual(digest, hashToken(fleetKey)) ? { name: BOOTSTRAP_AUTHOR, operator: true } : undefined;
}

// Compares all digests, so that the time taken does not reveal the position of the owner.
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
