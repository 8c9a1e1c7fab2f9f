import { Left, Right, type Either } from 'purify-ts';
import { AdminError } from '#admin/AdminError.js';
import type { AdminRoute } from '#admin/AdminRoute.js';

interface RouteMatch {
  readonly route: AdminRoute;
  readonly params: Readonly<Record<string, string>>;
}

/** Finds the route for a method and path; 404 for an unknown path, 405 if the path does not allow the method. */
export function matchRoute(
  routes: readonly AdminRoute[],
  method: string,
  path: string,
): Either<AdminError, RouteMatch> {
  const matches = routes.flatMap((route) => {
    const params = matchPath(route.path, path);
    return params === undefined ? [] : [{ route, params }];
  });
  const match = matches.find(({ route }) => route.method === method);
  if (match !== undefined) return Right(match);
  if (matches.length === 0) return Left(new AdminError(404, 'noRoute', `there is no path ${path}`));
  const allowed = matches.map(({ route }) => route.method).join(', ');
  return Left(new AdminError(405, 'badMethod', `${path} allows ${allowed}`));
}

function matchPath(template: string, path: string): Readonly<Record<string, string>> | undefined {
  const templateSegments = template.split('/');
  const pathSegments = path.split('/');
  if (templateSegments.length !== pathSegments.length) return undefined;
  const pairs = templateSegments.map((segment, index) => matchSegment(segment, pathSegments[index] ?? ''));
  if (pairs.includes(undefined)) return undefined;
  return Object.fromEntries(pairs.flatMap((pair) => pair ?? []));
}

function matchSegment(template: string, value: string): readonly (readonly [string, string])[] | undefined {
  if (!template.startsWith('{')) return template === value ? [] : undefined;
  if (value === '') return undefined;
  try {
    return [[template.slice(1, -1), decodeURIComponent(value)]];
  } catch {
    return undefined;
  }
}
