import { type EitherAsync, Left } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { handleAsync } from '#admin/HandleAsync.js';
import { listRoute } from '#admin/ListRoute.js';

/** Operations on members, key owners, moves and held requests. */
export const fleetRoutes: readonly AdminRoute[] = [
  listRoute('/admin/v1/propagation', 'getPropagation', 'owner', [], (backend, _, page) =>
    backend.readPropagation(page),
  ),
  listRoute(
    '/admin/v1/members',
    'listMembers',
    'owner',
    ['service', 'region', 'failureDomain'],
    (backend, { query }, page) => {
      const { service = '', region = '', failureDomain = '' } = query;
      return backend.listMembers({ service, region, failureDomain }, page);
    },
  ),
  listRoute('/admin/v1/hot-keys', 'listHotKeys', 'operator', [], (backend, _, page) =>
    backend.listHotKeys(page),
  ),
  listRoute('/admin/v1/moves', 'listMoves', 'owner', [], (backend, _, page) => backend.listMoves(page)),
  listRoute('/admin/v1/held', 'listHeld', 'owner', [], (backend, call, page) =>
    backend.listHeld(visibleTeam(call), page),
  ),
  {
    method: 'DELETE',
    path: '/admin/v1/held/{id}',
    operation: 'liftHeld',
    access: 'owner',
    query: [],
    handle: liftHeld,
  },
  {
    method: 'GET',
    path: '/admin/v1/owners',
    operation: 'findOwners',
    access: 'owner',
    query: ['service', 'key', 'regions'],
    handle: findOwners,
  },
];

type Handled = EitherAsync<RouterError, AdminReply>;

// Competing teams share the fleet, so an owner sees only its own held requests.
function visibleTeam({ author }: AdminCall): string {
  return author.operator ? '' : author.name;
}

function liftHeld(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const { id = '' } = call.params;
    const lifted = await backend.liftHeld(id, visibleTeam(call));
    if (!lifted) return unwrap(Left(new AdminError(404, 'notHeld', `request "${id}" is not held`)));
    return { status: 200, body: { id }, change: { event: 'heldLifted', fields: { id } } };
  });
}

function findOwners(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const { service = '', key = '', regions = '' } = call.query;
    if (service === '' || key === '')
      return unwrap(Left(new AdminError(400, 'badQuery', '"service" and "key" are required')));
    const list = regions.split(',').filter((region) => region !== '');
    return { status: 200, body: { items: await backend.findOwners({ service, key, regions: list }) } };
  });
}
