import { EitherAsync, Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import type { Withdrawal } from '#control/Withdrawal.js';
import type { AdminBackend } from '#admin/AdminBackend.js';
import type { AdminCall } from '#admin/AdminCall.js';
import { AdminError } from '#admin/AdminError.js';
import type { AdminReply } from '#admin/AdminReply.js';
import type { AdminRoute } from '#admin/AdminRoute.js';
import { applyIntent } from '#admin/ApplyIntent.js';
import { handleAsync } from '#admin/HandleAsync.js';

const KINDS: readonly string[] = ['failureDomain', 'vm', 'server'] satisfies readonly Withdrawal['kind'][];
const WITHDRAWAL_PATH = '/admin/v1/withdrawals/{kind}/{name}';

/** Operations on the operator intent: withdrawals from service and servers confirmed as lost. */
export const intentRoutes: readonly AdminRoute[] = [
  {
    method: 'GET',
    path: '/admin/v1/withdrawals',
    operation: 'listWithdrawals',
    access: 'owner',
    query: [],
    handle: readIntent,
  },
  {
    method: 'GET',
    path: WITHDRAWAL_PATH,
    operation: 'getDrainProgress',
    access: 'owner',
    query: [],
    handle: readProgress,
  },
  {
    method: 'PUT',
    path: WITHDRAWAL_PATH,
    operation: 'putWithdrawal',
    access: 'operator',
    query: [],
    handle: withdraw,
  },
  {
    method: 'DELETE',
    path: WITHDRAWAL_PATH,
    operation: 'deleteWithdrawal',
    access: 'operator',
    query: [],
    handle: returnToService,
  },
  {
    method: 'PUT',
    path: '/admin/v1/confirmed-lost/{serverId}',
    operation: 'confirmLost',
    access: 'operator',
    query: [],
    handle: confirmLost,
  },
];

type Handled = EitherAsync<RouterError, AdminReply>;
type Target = Pick<Withdrawal, 'kind' | 'name'>;

function readIntent(backend: AdminBackend): Handled {
  return handleAsync(async () => {
    const found = await backend.readIntent();
    return { status: 200, body: found, version: found.version };
  });
}

function readProgress(backend: AdminBackend, call: AdminCall): Handled {
  return handleAsync(async (unwrap) => {
    const { kind, name } = await unwrap(readTarget(call));
    return { status: 200, body: await backend.readDrainProgress(kind, name) };
  });
}

// A repeated withdrawal keeps its first author and time, so that a retry after a lost response changes nothing.
function withdraw(backend: AdminBackend, call: AdminCall): Handled {
  return changeWithdrawals(backend, call, 'withdrawn', (withdrawals, { kind, name }) => {
    if (withdrawals.some((each) => isTarget(each, { kind, name }))) return Right(withdrawals);
    return Right([...withdrawals, { kind, name, author: call.author.name, sinceMs: call.nowMs }]);
  });
}

function returnToService(backend: AdminBackend, call: AdminCall): Handled {
  return changeWithdrawals(backend, call, 'returned', (withdrawals, target) => {
    const kept = withdrawals.filter((each) => !isTarget(each, target));
    if (kept.length < withdrawals.length) return Right(kept);
    const message = `${target.kind} "${target.name}" is not withdrawn`;
    return Left(new AdminError(404, 'notWithdrawn', message));
  });
}

function changeWithdrawals(
  backend: AdminBackend,
  call: AdminCall,
  event: string,
  update: (withdrawals: readonly Withdrawal[], target: Target) => Either<AdminError, readonly Withdrawal[]>,
): Handled {
  return EitherAsync.liftEither<RouterError, Target>(readTarget(call)).chain((target) =>
    applyIntent(backend, call, { event, fields: { ...target } }, (intent) =>
      update(intent.withdrawals, target).map((withdrawals) => ({ ...intent, withdrawals })),
    ),
  );
}

function confirmLost(backend: AdminBackend, call: AdminCall): Handled {
  const { serverId = '' } = call.params;
  return applyIntent(backend, call, { event: 'confirmedLost', fields: { serverId } }, (intent) => {
    const confirmedLost = [...new Set([...intent.confirmedLost, serverId])];
    return Right({ ...intent, confirmedLost });
  });
}

function readTarget({ params }: AdminCall): Either<AdminError, Target> {
  const { kind = '', name = '' } = params;
  if (isKind(kind)) return Right({ kind, name });
  return Left(new AdminError(400, 'badKind', `the kind must be one of ${KINDS.join(', ')}`));
}

function isKind(text: string): text is Withdrawal['kind'] {
  return KINDS.includes(text);
}

function isTarget(withdrawal: Withdrawal, target: Target): boolean {
  return withdrawal.kind === target.kind && withdrawal.name === target.name;
}
