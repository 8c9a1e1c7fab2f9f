import type { Logger } from '#core/Logger.js';
import type { KeyRange } from '#ranges/KeyRange.js';
import { overlaps } from '#ranges/Overlaps.js';
import type { RangeTransfer } from '#ranges/RangeTransfer.js';
import { subtractRanges } from '#ranges/SubtractRanges.js';
import { advanceReleases } from '#mesh/AdvanceReleases.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { PendingRelease } from '#mesh/PendingRelease.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';
import { settleReleases } from '#mesh/SettleReleases.js';

/** A backend server that can reach this daemon has done so once it could announce itself this many times. */
const LIVE_ANNOUNCEMENTS = 2;

/** The releases of keys that are under way at one run of a backend server. */
export class ReleaseLedger {
  private readonly logger: Logger;
  /** Monotonic time until which announcements may be outdated ones that a former run of the daemon missed. */
  private readonly liveFromMs: number;
  private releases: readonly PendingRelease[] = [];
  private released: readonly ReleasedRow[] = [];
  /** What the last announcement lists as released, and the part of it that is about an earlier holding of the keys. */
  private listed: readonly ReleasedRow[] = [];
  private outdated: readonly ReleasedRow[] = [];

  public constructor(logger: Logger, nowMs: number, announceEveryMs: number) {
    this.logger = logger;
    this.liveFromMs = nowMs + LIVE_ANNOUNCEMENTS * announceEveryMs;
  }

  public get isEmpty(): boolean {
    return this.releases.length === 0;
  }

  /** Whether the backend server has been told to release keys that it may still hold. */
  public get hasTold(): boolean {
    return this.releases.some(({ step }) => step === 'told');
  }

  /** Releases that the backend server was told of or that are free, in order of their keys. */
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
      surelyToldMs: Infinity,
    }));
    this.releases = [...this.releases, ...planned];
  }

  /** Drops releases of which the backend server was not told. */
  public cancelPlanned(): void {
    this.releases = this.releases.filter(({ step }) => step !== 'planned');
  }

  /** Notes that an answer leaves out the keys of all releases; no earlier answer gives them after `surelyToldMs`. */
  public noteTold(surelyToldMs: number): void {
    const planned = this.releases.filter(({ step }) => step === 'planned');
    if (planned.length === 0) return;
    // What was released before is about an earlier holding of the keys. It is listed again until it is acknowledged.
    this.released = subtractRanges(this.released, planned);
    this.outdated = [...this.outdated, ...this.listed];
    this.releases = this.releases.map((release) =>
      release.step === 'planned' ? { ...release, step: 'told', surelyToldMs } : release,
    );
  }

  /** Notes what an announcement lists; keys that it holds no longer are free. */
  public noteAnnounced(holds: readonly HeldRow[], released: readonly ReleasedRow[], nowMs: number): void {
    const told = this.releases.filter(({ step }) => step === 'told');
    this.listed = released;
    this.outdated = this.outdated.filter((row) => released.some((each) => isSameStatement(row, each)));
    const news = released.filter(
      (row) =>
        told.some((release) => overlaps(row, release)) &&
        !this.outdated.some((each) => isSameStatement(row, each)),
    );
    this.released = [...this.released, ...news];
    const proofs = nowMs < this.liveFromMs ? [] : this.released;
    this.replace(advanceReleases(this.releases, holds, proofs, nowMs), 'announced');
  }

  /** Notes that no grant can be in force any more. */
  public noteGrantsEnded(): void {
    this.replace(
      this.releases.map((release) => ({ ...release, step: 'free' })),
      'grantsEnded',
    );
  }

  /** The parts of rows that are not to be released. */
  public subtractFrom<R extends KeyRange>(rows: readonly R[]): readonly R[] {
    return subtractRanges(rows, this.releases);
  }

  /** Lists the transfers of free keys, with the handover tokens that the backend server gave. */
  public listFree(): readonly RangeTransfer[] {
    return settleReleases(this.releases, this.released);
  }

  /** Forgets releases of keys that are not among `rows` any more. */
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

  private replace(next: readonly PendingRelease[], evidence: 'announced' | 'grantsEnded'): void {
    const freed = next.filter(({ step }, index) => step === 'free' && this.releases[index]?.step !== 'free');
    this.releases = next;
    for (const { from, to, owner } of freed)
      this.logger.log('released', { step: 'move', from, to, peer: owner.serverId, evidence });
  }
}

function isSameStatement(left: ReleasedRow, right: ReleasedRow): boolean {
  return left.from === right.from && left.to === right.to && left.handover === right.handover;
}
