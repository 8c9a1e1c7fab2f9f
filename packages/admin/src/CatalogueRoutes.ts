import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { Catalogue } from '#catalogue/Catalogue.js';
import { formatEntryName } from '#catalogue/FormatEntryName.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { applyCatalogue } from '#admin/ApplyCatalogue.js';
import { handleAsync } from '#admin/HandleAsync.js';
import { readJsonBody } from '#admin/ReadJsonBody.js';
import { readPageRequest } from '#admin/ReadPageRequest.js';
import { replaceEntry } from '#admin/ReplaceEntry.js';

const PATH = '/admin/v1/catalogue';
const ENTRY_PATH = `${PATH}/entries/{owner}/{service}/{class}`;

/** Operations on the catalogue, its entries and its history. */
export const catalogueRoutes: readonly AdminRoute[] = [
  { method: 'GET', path: PATH, operation: 'getCatalogue', access: 'owner', query: ['inForce'], handle: read },
  {
    method: 'PUT',
    path: PATH,
    operation: 'putCatalogue',
    access: 'owner',
    query: ['dryRun'],
    handle: replace,
  },
  {
    method: 'POST',
    path: PATH,
    operation: 'checkCatalogue',
    access: 'owner',
    query: ['dryRun'],
    handle: check,
  },
  {
    method: 'PUT',
    path: ENTRY_PATH,
    operation: 'putEntry',
    access: 'owner',
    query: ['dryRun'],
    handle: putEntry,
  },
  {
    method: 'DELETE',
    path: ENTRY_PATH,
    operation: 'deleteEntry',
    access: 'owner',
    query: ['dryRun'],
    handle: deleteEntry,
  },
  {
    method: 'GET',
    path: `${PATH}/history`,
    operation: 'listHistory',
    access: 'owner',
    query: ['limit', 'after'],
    handle: listHistory,
  },
  {
    method: 'GET',
    path: `${PATH}/history/{version}`,
    operation: 'getHistory',
    access: 'owner',
    query: [],
    handle: readVersion,
  },
  {
    method: 'POST',
    path: `${PATH}/history/{version}/restore`,
    operation: 'restoreCatalogue',
    access: 'owner',
    query: ['dryRun'],
    handle: restore,
  },
];

type Handled = EitherAsync<RouterError, AdminReply>;

function read(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const inForce = call.query.inForce === 'true';
    const found = await (inForce ? backend.readCatalogueInForce() : backend.readCatalogue());
    if (found === undefined) return unwrap(Left(new AdminError(404, 'noCatalogue', 'there is no catalogue')));
    return { status: 200, body: found, version: found.version };
  });
}

function replace(backend: AdminBackend, call: AdminCall): Handled {
  return applyCatalogue(backend, call, () => Right(call.body));
}

// POST only supports a dry run. A change is made with PUT, which requires If-Match.
function check(backend: AdminBackend, call: AdminCall): Handled {
  if (call.query.dryRun === 'true') return replace(backend, call);
  return EitherAsync.liftEither(
    Left(new AdminError(400, 'dryRunMissing', 'POST needs dryRun=true; use PUT to change the catalogue')),
  );
}

function putEntry(backend: AdminBackend, call: AdminCall): Handled {
  const { owner = '', service = '', class: className = '' } = call.params;
  return applyCatalogue(backend, call, (before) =>
    readJsonBody(call.body).chain((body) =>
      requireCatalogue(before).map((catalogue) => {
        const entry = { ...body, owner, service, class: className };
        return JSON.stringify(replaceEntry(catalogue, formatEntryName(entry), entry));
      }),
    ),
  );
}

function deleteEntry(backend: AdminBackend, call: AdminCall): Handled {
  const { owner = '', service = '', class: className = '' } = call.params;
  const name = formatEntryName({ owner, service, class: className });
  return applyCatalogue(backend, call, (before) =>
    requireCatalogue(before).chain((catalogue) =>
      catalogue.entries.some((entry) => formatEntryName(entry) === name)
        ? Right(JSON.stringify(replaceEntry(catalogue, name, undefined)))
        : Left(new AdminError(404, 'noEntry', `there is no entry "${name}"`)),
    ),
  );
}

function listHistory(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const page = await unwrap(readPageRequest(call.query));
    return { status: 200, body: await backend.listHistory(page) };
  });
}

function readVersion(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const found = await backend.readHistory(Number(call.params.version));
    if (found === undefined) return unwrap(Left(reportNoVersion(call)));
    return { status: 200, body: found };
  });
}

// Version numbers only increase: the content of an earlier version is written as a new version.
function restore(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const found = await backend.readHistory(Number(call.params.version));
    if (found === undefined) return unwrap(Left(reportNoVersion(call)));
    return unwrap(await applyCatalogue(backend, call, () => Right(JSON.stringify(found.catalogue))).run());
  });
}

function requireCatalogue(catalogue: Catalogue | undefined): Either<AdminError, Catalogue> {
  return catalogue === undefined
    ? Left(new AdminError(404, 'noCatalogue', 'there is no catalogue'))
    : Right(catalogue);
}

function reportNoVersion(call: AdminCall): AdminError {
  return new AdminError(404, 'noVersion', `version "${call.params.version ?? ''}" is not in the history`);
}
