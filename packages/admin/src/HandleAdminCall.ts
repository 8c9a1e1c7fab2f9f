import { Left, Right, type Either, type EitherAsync } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { AdminAuthor } from '#admin/AdminAuthor.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { authenticateCall } from '#admin/AuthenticateCall.js';
import { handleAsync } from '#admin/HandleAsync.js';
import { matchRoute } from '#admin/MatchRoute.js';
import type { RawCall } from '#admin/RawCall.js';

/** Authenticates the sender, finds the route, checks access and the query, reads the body and runs the operation. */
export function handleAdminCall(
  routes: readonly AdminRoute[],
  backend: AdminBackend,
  fleetKey: string,
  raw: RawCall,
): EitherAsync<RouterError, AdminReply> {
  return handleAsync(async (unwrap) => {
    const inForce = await backend.readCatalogueInForce();
    const author = await unwrap(authenticateCall(raw.authorization, inForce?.catalogue, fleetKey));
    const url = await unwrap(parseTarget(raw.target));
    const { route, params } = await unwrap(matchRoute(routes, raw.method, url.pathname));
    await unwrap(checkAccess(route, author));
    const query = await unwrap(readQuery(route, url.searchParams));
    const body = await unwrap(await raw.readBody());
    const call = { author, params, query, ifMatch: raw.ifMatch, body, nowMs: raw.nowMs };
    const reply = await unwrap(await route.handle(backend, call).run());
    return addAuthor(reply, author);
  });
}

function parseTarget(target: string): Either<AdminError, URL> {
  const base = 'http://admin';
  return target.startsWith('/') && URL.canParse(target, base)
    ? Right(new URL(target, base))
    : Left(new AdminError(400, 'badTarget', 'the request target must be a path'));
}

function checkAccess(route: AdminRoute, author: AdminAuthor): Either<AdminError, AdminRoute> {
  return route.access === 'owner' || author.operator
    ? Right(route)
    : Left(new AdminError(403, 'notOperator', 'only an operator may call this operation'));
}

function readQuery(
  route: AdminRoute,
  search: URLSearchParams,
): Either<AdminError, Readonly<Record<string, string>>> {
  const unknown = [...search.keys()].find((name) => !route.query.includes(name));
  if (unknown !== undefined)
    return Left(new AdminError(400, 'badQuery', `the query parameter "${unknown}" is unknown`));
  return Right(Object.fromEntries(search));
}

function addAuthor(reply: AdminReply, author: AdminAuthor): AdminReply {
  const { change } = reply;
  if (change === undefined) return reply;
  return { ...reply, change: { ...change, fields: { ...change.fields, author: author.name } } };
}
