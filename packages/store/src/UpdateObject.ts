import { Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import { maxWriteMarks } from '#store/MaxWriteMarks.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';
import type { UpdateOutcome } from '#store/UpdateOutcome.js';
import type { UpdateRequest } from '#store/UpdateRequest.js';

type Result = Either<RouterError, UpdateOutcome>;

/** Up to 64 members of a cell may write at the same time when a failure domain returns, so conflicts are frequent. */
const MAX_ATTEMPTS = 8;

/**
 * Reads an object, changes it and writes it conditionally, with retries after conflicts.
 * If the reply to a write is lost, the object is read again: the write was accepted if its mark is among the object's
 * marks. If the mark is absent and the version has not changed, the write may still arrive late. The next write with
 * the same condition rules that out, because the store accepts only one of the two.
 * Returns an error only if no write of this update can have been accepted.
 */
export async function updateObject(store: ObjectStore, request: UpdateRequest): Promise<Result> {
  let pending = request.pending ?? [];
  let latest: StoreObject | undefined;
  for (let attempt = 0; attempt < (request.attempts ?? MAX_ATTEMPTS); attempt += 1) {
    if (latest === undefined) {
      const read = await store.get(request.name, 'change');
      if (read.isLeft()) return failOrUndecided(read.extract(), pending);
      latest = read.extract() as StoreObject | undefined;
    }
    const current = latest;
    latest = undefined;
    const accepted = findAccepted(current, pending);
    if (accepted !== undefined) return Right(accepted);
    const version = current?.version ?? 0;
    pending = pending.filter((write) => write.ifVersion >= version);
    const nextValue = request.change(current);
    if (nextValue === undefined && pending.length === 0) return Right({ type: 'unchanged', object: current });

    const value = nextValue ?? current?.value ?? null;
    const mark = request.nextMark();
    const marks = [mark, ...(current?.marks ?? [])].slice(0, maxWriteMarks);
    const put = await store.put({ name: request.name, value, ifVersion: version, marks });
    if (put.isLeft()) {
      const err = put.extract();
      if (err.fields.code !== 'storeReplyLost') return failOrUndecided(err, pending);
      pending = [...pending, { mark, ifVersion: version }];
      continue;
    }
    const result = put.unsafeCoerce();
    if (result.type === 'conflict') {
      latest = result.current;
      continue;
    }
    const object = { name: request.name, version: result.version, marks, value };
    return Right(
      nextValue === undefined
        ? { type: 'unchanged', object }
        : { type: 'accepted', version: result.version, object },
    );
  }
  if (pending.length > 0) return Right({ type: 'undecided', pending });
  return Right({ type: 'conflict', object: latest });
}

function findAccepted(
  current: StoreObject | undefined,
  pending: readonly PendingWrite[],
): UpdateOutcome | undefined {
  if (current === undefined) return undefined;
  const position = current.marks.findIndex((mark) => pending.some((write) => write.mark === mark));
  if (position < 0) return undefined;
  return { type: 'accepted', version: current.version - position, object: current };
}

function failOrUndecided(err: RouterError, pending: readonly PendingWrite[]): Result {
  return pending.length > 0 ? Right({ type: 'undecided', pending }) : Left(err);
}
