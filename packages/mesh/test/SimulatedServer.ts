import type { ManualClock } from '#core/ManualClock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

const ANNOUNCE_EVERY_MS = 870;
const RELEASE_ANNOUNCE_MS = 100;
const REPLY_TIMEOUT_MS = 1_000;
const LONGEST_DELAY_MS = 10;
const LONGEST_WORK_MS = 120;
const LONGEST_PARTITION_MS = 6_000;

/** Announcements that a partition may hold up together. */
const HELD_UP = 6;

/** Part by which the clock that measures grants runs slow. */
const SLOW_CLOCK = 0.02;

type Announce = (announcement: Announcement, reply: (reply: AnnouncementReply) => void) => void;

/** One run of a backend server that holds ranges of keys as the daemon beside it grants them. */
export class SimulatedServer {
  public readonly incarnation: string;
  public readonly bornMs: number;
  private readonly serverId: string;
  private readonly clock: ManualClock;
  private readonly random: RandomSource;
  private readonly announce: Announce;
  private rows: readonly HeldRow[] = [];
  /** Rows that were left out of a grant and are still worked on. */
  private finishing: readonly HeldRow[] = [];
  private released: readonly ReleasedRow[] = [];
  private endMs = 0;
  private sequence = 0;
  private recent: readonly Announcement[] = [];
  private isUp = true;
  private isDraining = false;

  public constructor(
    serverId: string,
    bornMs: number,
    clock: ManualClock,
    random: RandomSource,
    announce: Announce,
  ) {
    this.serverId = serverId;
    this.bornMs = bornMs;
    this.incarnation = `${serverId}/${bornMs}`;
    this.clock = clock;
    this.random = random;
    this.announce = announce;
    this.scheduleAnnouncement();
  }

  /** Rows on which it would begin a request now. */
  public get held(): readonly HeldRow[] {
    return this.isUp && this.clock.monotonicMs() < this.endMs ? this.rows : [];
  }

  /** Rows on which it still works, though it was told to release them. */
  public get working(): readonly HeldRow[] {
    return this.isUp && this.clock.monotonicMs() < this.endMs ? this.finishing : [];
  }

  public get isRunning(): boolean {
    return this.isUp;
  }

  public drain(): void {
    this.isDraining = true;
  }

  /** Ends the run; its last announcement arrives once more after a while, as a partition may have held it up. */
  public crash(): void {
    const last = this.describe();
    this.isUp = false;
    this.clock.schedule(this.random.integer(LONGEST_PARTITION_MS), () =>
      this.announce(last, () => undefined),
    );
  }

  /** Lets its recent announcements arrive once more in any order, as a partition may have held them up. */
  public repeat(): void {
    for (const announcement of this.recent)
      this.clock.schedule(this.random.integer(LONGEST_PARTITION_MS), () =>
        this.announce(announcement, () => undefined),
      );
  }

  private scheduleAnnouncement(): void {
    if (!this.isUp) return;
    this.send();
    this.clock.schedule(ANNOUNCE_EVERY_MS, () => this.scheduleAnnouncement());
  }

  private send(): void {
    if (!this.isUp) return;
    const sentMs = this.clock.monotonicMs();
    const announcement = this.describe();
    this.recent = [...this.recent, announcement].slice(-HELD_UP);
    this.clock.schedule(this.random.integer(LONGEST_DELAY_MS), () =>
      this.announce(announcement, (reply) => {
        this.clock.schedule(this.random.integer(LONGEST_DELAY_MS), () =>
          this.take(reply, sentMs, announcement.released),
        );
      }),
    );
  }

  private describe(): Announcement {
    this.sequence += 1;
    return {
      instanceId: this.serverId,
      bornMs: this.bornMs,
      sequence: this.sequence,
      service: 's',
      address: `${this.serverId}:1`,
      slots: 4,
      draining: this.isDraining,
      coldLeftMs: 0,
      holds: [...this.held, ...this.finishing],
      released: this.released,
    };
  }

  private take({ grant, accepted }: AnnouncementReply, sentMs: number, told: readonly ReleasedRow[]): void {
    if (!this.isUp || !accepted || this.clock.monotonicMs() - sentMs > REPLY_TIMEOUT_MS) return;
    this.released = this.released.filter((row) => !told.includes(row));
    if (grant === undefined) return;
    const left = this.held.filter(
      (row) => !grant.rows.some(({ from, to }) => from <= row.from && to >= row.to),
    );
    this.rows = grant.rows;
    this.endMs = sentMs + grant.holdMs * (1 + SLOW_CLOCK);
    if (left.length > 0) this.finish(left);
  }

  private finish(rows: readonly HeldRow[]): void {
    this.finishing = [...this.finishing, ...rows];
    this.clock.schedule(this.random.integer(LONGEST_WORK_MS), () => {
      this.finishing = this.finishing.filter((row) => !rows.includes(row));
      this.released = [...this.released, ...rows.map(({ from, to }) => ({ from, to, handover: 'h' }))];
    });
    this.clock.schedule(RELEASE_ANNOUNCE_MS, () => this.send());
    this.clock.schedule(2 * RELEASE_ANNOUNCE_MS, () => this.send());
  }
}
