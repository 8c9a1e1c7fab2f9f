import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { handleAsync } from '#admin/HandleAsync.js';
import type { PageRequest } from '#admin/PageRequest.js';
import { readPageRequest } from '#admin/ReadPageRequest.js';

/** Creates a route that returns a paginated list. `query` names its parameters other than `limit` and `after`. */
export function listRoute(
  path: string,
  operation: string,
  access: AdminRoute['access'],
  query: readonly string[],
  load: (backend: AdminBackend, call: AdminCall, page: PageRequest) => Promise<unknown>,
): AdminRoute {
  const handle: AdminRoute['handle'] = (backend, call) =>
    handleAsync(async (unwrap) => {
      const page = await unwrap(readPageRequest(call.query));
      return { status: 200, body: await load(backend, call, page) };
    });
  return { method: 'GET', path, operation, access, query: [...query, 'limit', 'after'], handle };
}
