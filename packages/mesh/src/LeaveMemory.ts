import { StoreVersion } from '#store/StoreVersion.js';
import type { ServerEntry } from '#mesh/ServerEntry.js';

interface KnownLeave {
  readonly entry: ServerEntry;
  /** Version of the entry that stated the leave, or of the restored one that did not. */
  readonly revision: number;
  readonly isUndone: boolean;
}

/**
 * Remembers the leaves that entries of servers have stated, so that a restore of the store does not undo them. A run that is
 * gone stays so. One that drained may become ready again, but only by a later write of the daemon that drained it.
 */
export class LeaveMemory {
  private readonly leaves = new Map<string, KnownLeave>();

  /** Returns the entry that holds, given the stored one at `revision`. */
  public apply(stored: ServerEntry, revision: number): ServerEntry {
    const { serverId } = stored;
    const known = this.leaves.get(serverId);
    if (stored.leave !== undefined) {
      this.leaves.set(serverId, { entry: stored, revision, isUndone: false });
      return stored;
    }
    if (known?.entry.incarnation !== stored.incarnation) return stored;
    if (!known.isUndone && !isRestored(known.revision, revision)) {
      this.leaves.delete(serverId);
      return stored;
    }
    if (known.isUndone && revision > known.revision && mayReturn(known.entry, stored)) {
      this.leaves.delete(serverId);
      return stored;
    }
    if (!known.isUndone) this.leaves.set(serverId, { ...known, revision, isUndone: true });
    return { ...stored, state: known.entry.state, leave: known.entry.leave };
  }
}

/** Whether an entry without a leave comes from the daemon that drained the run, which knows that it is ready again. */
function mayReturn(left: ServerEntry, stored: ServerEntry): boolean {
  return left.state !== 'gone' && left.processId === stored.processId;
}

function isRestored(before: number, after: number): boolean {
  return StoreVersion.eraOf(before) < StoreVersion.eraOf(after);
}
