import { Left, Right, type Either } from 'purify-ts';
import type { RouterError } from '#core/RouterError.js';
import { maxWriteMarks } from '#store/MarksKept.js';
import type { ObjectStore } from '#store/ObjectStore.js';
import type { PendingWrite } from '#store/PendingWrite.js';
import type { StoreObject } from '#store/StoreObject.js';
import type { UpdateOutcome } from '#store/UpdateOutcome.js';
import type { UpdateRequest } from '#store/UpdateRequest.js';

type Result = Either<RouterError, UpdateOutcome>;

/** 64 members of a cell may write at the same moment when a failure domain returns. */
const ATTEMPTS = 8;

/**
 * Reads, changes and conditionally writes an object.
 * A write whose reply was lost is settled by reading the object: it was accepted iff its mark is among the marks kept.
 * If its mark is absent and the version is still the one it was written against, it may arrive late; the next write
 * against the same version excludes that, since only one of the two can be accepted.
 * Returns an error only if no write of this update can have been accepted.
 */
export async function updateObject(store: ObjectStore, request: UpdateRequest): Promise<Result> {
  let pending = request.pending ?? [];
  let newest: StoreObject | undefined;
  for (let attempt = 0; attempt < (request.attempts ?? ATTEMPTS); attempt += 1) {
    if (newest === undefined) {
      const read = await store.get(request.name, 'change');
      if (read.isLeft()) return failOrUndecided(read.extract(), pending);
      newest = read.extract() as StoreObject | undefined;
    }
    const current = newest;
    newest = undefined;
    const accepted = findAccepted(current, pending);
    if (accepted !== undefined) return Right(accepted);
    const version = current?.version ?? 0;
    pending = pending.filter((write) => write.ifVersion >= version);
    const next = request.change(current);
    if (next === undefined && pending.length === 0) return Right({ type: 'unchanged', object: current });

    const value = next ?? current?.value ?? null;
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
      newest = result.current;
      continue;
    }
    const object = { name: request.name, version: result.version, marks, value };
    return Right(
      next === undefined
        ? { type: 'unchanged', object }
        : { type: 'accepted', version: result.version, object },
    );
  }
  if (pending.length > 0) return Right({ type: 'undecided', pending });
  return Right({ type: 'conflict', object: newest });
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
