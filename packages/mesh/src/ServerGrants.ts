import type { Logger } from '#core/Logger.js';
import { computeGrantMs } from '#ranges/ComputeGrantMs.js';
import type { RangeRow } from '#ranges/RangeRow.js';
import type { CheckIn } from '#mesh/CheckIn.js';
import { computeRoutineGrantMs } from '#mesh/ComputeRoutineGrantMs.js';
import { formatRows } from '#mesh/FormatRows.js';
import { GrantExpiry } from '#mesh/GrantExpiry.js';
import { HeldReply } from '#mesh/HeldReply.js';
import { listGrantChange } from '#mesh/ListGrantChange.js';
import type { RangeOptions } from '#mesh/RangeOptions.js';

/** Backend servers ignore replies that arrive later than this after their announcement, in milliseconds. */
const REPLY_VALID_MS = 1_000;

type Options = Pick<RangeOptions, 'announceEveryMs' | 'clock' | 'elapsed' | 'logger' | 'timings'>;

/** The run of the backend server to which keys are granted, under a term of the daemon's lease. */
interface Grantee {
  readonly incarnation: string;
  readonly term: number;
}

/** The grants in replies to announcements of the backend server, and the time until which they may be in force. */
export class ServerGrants {
  private readonly options: Options;
  private readonly logger: Logger;
  private readonly heldReply: HeldReply;
  private readonly expiry: GrantExpiry;
  private readonly routineMs: number;
  private outlastsRestart = false;
  private lastRows: readonly RangeRow[] = [];
  private lastUntilMs = 0;

  public constructor(options: Options) {
    const { announceEveryMs, clock, timings } = options;
    this.options = options;
    this.logger = options.logger;
    this.heldReply = new HeldReply(announceEveryMs);
    this.expiry = new GrantExpiry(clock, timings);
    this.routineMs = computeRoutineGrantMs(announceEveryMs, this.heldReply.holdMs, timings);
  }

  /** Rows of the last grant. */
  public get rows(): readonly RangeRow[] {
    return this.lastRows;
  }

  /** Time of the elapsed clock until which the rows are granted, in milliseconds. */
  public get untilMs(): number {
    return this.lastUntilMs;
  }

  /** Whether no grant is in force any longer. */
  public get hasEnded(): boolean {
    return this.leftMs === 0;
  }

  /** Longest time for which a grant may still be in force, in milliseconds. */
  public get leftMs(): number {
    return Math.max(0, this.expiry.endMs - this.options.clock.monotonicMs());
  }

  /** Time for which a reply is held back, in milliseconds. */
  public get replyDelayMs(): number {
    return this.heldReply.holdMs;
  }

  /** Whether an announcement waits for its reply. */
  public get hasOpenReply(): boolean {
    return this.heldReply.isWaiting;
  }

  /** Whether the reply was held back for the full time. */
  public get isReplyDue(): boolean {
    return this.heldReply.isDue(this.options.clock.monotonicMs());
  }

  /** Notes that the previous daemon process has no grants in force. */
  public noteNothingInherited(): void {
    this.expiry.noteNothingInherited();
  }

  /** Notes that another run of the backend server announces itself, which has been granted nothing. */
  public noteNewRun(): void {
    this.lastRows = [];
  }

  /** Lets the next grants last as long as possible, as the daemon is about to restart. */
  public prepareRestart(): void {
    this.outlastsRestart = true;
  }

  /** Holds the reply to an announcement back, so that a change of the keys reaches the backend server at once. */
  public hold(reply: CheckIn['reply']): void {
    this.heldReply.hold(reply, this.options.clock.monotonicMs());
  }

  /** Replies without a grant: the backend server keeps what it holds until its last grant runs out. */
  public refuse(): void {
    this.heldReply.take()?.reply(undefined);
  }

  /** Duration of a grant under a lease that lasts for `leaseLeftMs`; 0 if it is too short for one. */
  public computeHoldMs(leaseLeftMs: number): number {
    const { timings } = this.options;
    return computeGrantMs(leaseLeftMs, this.outlastsRestart ? timings.maxGrantMs : this.routineMs, timings);
  }

  /**
   * Grants exactly `rows` in the reply that is held back. Returns the monotonic time from which no earlier reply can grant
   * other keys any more.
   */
  public give(rows: readonly RangeRow[], holdMs: number, grantee: Grantee): number {
    const { clock, elapsed } = this.options;
    const nowMs = clock.monotonicMs();
    const open = this.heldReply.take();
    if (open !== undefined) {
      this.expiry.noteGranted(holdMs, open.announcedMs);
      this.lastUntilMs = elapsed.nowMs() + holdMs - (nowMs - open.announcedMs);
      this.logChange(rows, holdMs, grantee);
      this.lastRows = rows;
      open.reply({ rows, holdMs });
    }
    return Math.max(this.expiry.inheritedEndMs, nowMs + REPLY_VALID_MS);
  }

  private logChange(rows: readonly RangeRow[], holdMs: number, { incarnation, term }: Grantee): void {
    const { added, removed } = listGrantChange(this.lastRows, rows);
    if (added.length + removed.length === 0) return;
    this.logger.log('granted', {
      step: 'move',
      incarnation,
      added: formatRows(added),
      removed: formatRows(removed),
      rows: rows.length,
      holdMs,
      term,
    });
  }
}
