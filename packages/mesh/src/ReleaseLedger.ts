import type { Logger } from '#core/Logger.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { overlaps } from '#ranges/Overlaps.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import { advanceReleases } from '#mesh/AdvanceReleases.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { PendingRelease } from '#mesh/PendingRelease.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';
import { listFreeTransfers } from '#mesh/ListFreeTransfers.js';

/** Announcement intervals after which a live backend server has certainly announced itself to a restarted daemon. */
const LIVE_INTERVALS = 2;

/**
 * Time for which free keys wait for others of the same server that are still being released, so that one write of the
 * table moves them all, in milliseconds. A server with keys to release announces itself every 100 ms. Each write reaches
 * every daemon, which costs as many store calls as there are daemons.
 */
const GATHER_MS = 120;

/** Tracks the releases of keys in progress at one run of a backend server. */
export class ReleaseLedger {
  private readonly logger: Logger;
  /** Monotonic time until which announcements may be delayed ones that were sent to a former run of the daemon. */
  private readonly outdatedUntilMs: number;
  private releases: readonly PendingRelease[] = [];
  /** Monotonic time since which there are free keys. */
  private freeSinceMs = Infinity;
  private released: readonly ReleasedRow[] = [];
  /** Released rows of the last announcement, and those among them that refer to an earlier grant of the keys. */
  private listed: readonly ReleasedRow[] = [];
  private outdated: readonly ReleasedRow[] = [];

  public constructor(logger: Logger, nowMs: number, announceEveryMs: number) {
    this.logger = logger;
    this.outdatedUntilMs = nowMs + LIVE_INTERVALS * announceEveryMs;
  }

  public get isEmpty(): boolean {
    return this.releases.length === 0;
  }

  /** Whether the backend server was told to release keys that it may still hold. */
  public get hasTold(): boolean {
    return this.releases.some(({ step }) => step === 'told');
  }

  /** Releases that are no longer just planned, sorted by key. */
  public get moving(): readonly PendingRelease[] {
    return this.releases
      .filter(({ step }) => step !== 'planned')
      .toSorted((left, right) => left.from - right.from);
  }

  public plan(transfers: readonly Pick<RangeTransfer, 'from' | 'to' | 'owner'>[]): void {
    const planned = transfers.map(({ from, to, owner }) => ({
      from,
      to,
      owner,
      step: 'planned' as const,
      earlierRepliesEndMs: Infinity,
    }));
    this.releases = [...this.releases, ...planned];
  }

  /** Drops the releases that the backend server has not been told about. */
  public cancelPlanned(): void {
    this.releases = this.releases.filter(({ step }) => step !== 'planned');
  }

  /**
   * Notes that a reply leaves out the keys of all releases. From `earlierRepliesEndMs` on, no earlier reply can grant
   * them.
   */
  public noteTold(earlierRepliesEndMs: number): void {
    const planned = this.releases.filter(({ step }) => step === 'planned');
    if (planned.length === 0) return;
    // Rows that were released before now refer to an earlier grant. The server repeats them until they are acknowledged.
    this.released = subtractRanges(this.released, planned);
    this.outdated = [...this.outdated, ...this.listed];
    this.releases = this.releases.map((release) =>
      release.step === 'planned' ? { ...release, step: 'told', earlierRepliesEndMs } : release,
    );
  }

  /** Notes the held and released rows of an announcement, and frees the keys that the server no longer holds. */
  public noteAnnounced(holds: readonly HeldRow[], released: readonly ReleasedRow[], nowMs: number): void {
    const told = this.releases.filter(({ step }) => step === 'told');
    this.listed = released;
    this.outdated = this.outdated.filter((row) => released.some((each) => isSameRow(row, each)));
    const current = released.filter(
      (row) =>
        told.some((release) => overlaps(row, release)) && !this.outdated.some((each) => isSameRow(row, each)),
    );
    this.released = [...this.released, ...current];
    const proofs = nowMs < this.outdatedUntilMs ? [] : this.released;
    this.replaceReleases(advanceReleases(this.releases, holds, proofs, nowMs), 'announced');
  }

  /** Notes that all grants have expired, which frees the keys of all releases. */
  public noteGrantsEnded(): void {
    this.replaceReleases(
      this.releases.map((release) => ({ ...release, step: 'free' })),
      'grantsEnded',
    );
  }

  /** Returns the parts of `rows` that are not being released. */
  public subtractFrom<R extends KeyRange>(rows: readonly R[]): readonly R[] {
    return subtractRanges(rows, this.releases);
  }

  /** Time for which keys that are free should still wait for those that are being released, in milliseconds. */
  public gatherMs(nowMs: number): number {
    const hasFree = this.releases.some(({ step }) => step === 'free');
    this.freeSinceMs = hasFree ? Math.min(this.freeSinceMs, nowMs) : Infinity;
    return hasFree && this.hasTold ? Math.max(0, this.freeSinceMs + GATHER_MS - nowMs) : 0;
  }

  /** Lists the transfers of free keys, with the handover tokens of the backend server. */
  public listFree(): readonly RangeTransfer[] {
    return listFreeTransfers(this.releases, this.released);
  }

  /** Drops the releases of keys that are no longer among `rows`. */
  public retain(rows: readonly KeyRange[]): void {
    this.releases = this.releases.filter((release) => rows.some((row) => overlaps(row, release)));
    if (this.releases.length === 0) this.released = [];
  }

  public clear(): void {
    this.releases = [];
    this.released = [];
    this.listed = [];
    this.outdated = [];
  }

  private replaceReleases(next: readonly PendingRelease[], evidence: 'announced' | 'grantsEnded'): void {
    const freed = next.filter(({ step }, index) => step === 'free' && this.releases[index]?.step !== 'free');
    this.releases = next;
    for (const { from, to, owner } of freed)
      this.logger.log('released', { step: 'move', from, to, peer: owner.serverId, evidence });
  }
}

function isSameRow(left: ReleasedRow, right: ReleasedRow): boolean {
  return left.from === right.from && left.to === right.to && left.handover === right.handover;
}
