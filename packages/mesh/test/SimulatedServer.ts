import type { ManualClock } from '#core/ManualClock.js';
import type { RandomSource } from '#core/RandomSource.js';
import type { Announcement } from '#mesh/Announcement.js';
import type { AnnouncementReply } from '#mesh/AnnouncementReply.js';
import type { HeldRow } from '#mesh/HeldRow.js';
import type { ReleasedRow } from '#mesh/ReleasedRow.js';

const ANNOUNCE_INTERVAL_MS = 870;
const RELEASE_ANNOUNCE_DELAY_MS = 100;
const REPLY_TIMEOUT_MS = 1_000;
const MAX_DELAY_MS = 10;
const MAX_WORK_MS = 120;
const MAX_PARTITION_MS = 6_000;

/** Number of recent announcements that a partition may delay. */
const MAX_RECENT_ANNOUNCEMENTS = 6;

/** Fraction by which the clock that measures grants runs slow. */
const CLOCK_DRIFT = 0.02;

type Announce = (announcement: Announcement, reply: (reply: AnnouncementReply) => void) => void;

/** Simulates one run of a backend server that holds the key ranges that its daemon grants. */
export class SimulatedServer {
  public readonly incarnation: string;
  public readonly bornMs: number;
  private readonly serverId: string;
  private readonly clock: ManualClock;
  private readonly random: RandomSource;
  private readonly announce: Announce;
  private rows: readonly HeldRow[] = [];
  /** Rows that a grant left out and on which requests still run. */
  private finishing: readonly HeldRow[] = [];
  private released: readonly ReleasedRow[] = [];
  private grantEndMs = 0;
  private sequence = 0;
  private recent: readonly Announcement[] = [];
  private isAlive = true;
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

  /** Rows for which it would start a request now. */
  public get held(): readonly HeldRow[] {
    return this.isAlive && this.clock.monotonicMs() < this.grantEndMs ? this.rows : [];
  }

  /** Rows that it was told to release but on which requests still run. */
  public get working(): readonly HeldRow[] {
    return this.isAlive && this.clock.monotonicMs() < this.grantEndMs ? this.finishing : [];
  }

  public get isRunning(): boolean {
    return this.isAlive;
  }

  public drain(): void {
    this.isDraining = true;
  }

  /** Ends the run. Its last announcement arrives once more later, as if a partition had delayed it. */
  public crash(): void {
    const last = this.describe();
    this.isAlive = false;
    this.clock.schedule(this.random.integer(MAX_PARTITION_MS), () => this.announce(last, () => undefined));
  }

  /** Sends its recent announcements once more in random order, as if a partition had delayed them. */
  public repeat(): void {
    for (const announcement of this.recent)
      this.clock.schedule(this.random.integer(MAX_PARTITION_MS), () =>
        this.announce(announcement, () => undefined),
      );
  }

  private scheduleAnnouncement(): void {
    if (!this.isAlive) return;
    this.send();
    this.clock.schedule(ANNOUNCE_INTERVAL_MS, () => this.scheduleAnnouncement());
  }

  private send(): void {
    if (!this.isAlive) return;
    const sentMs = this.clock.monotonicMs();
    const announcement = this.describe();
    this.recent = [...this.recent, announcement].slice(-MAX_RECENT_ANNOUNCEMENTS);
    this.clock.schedule(this.random.integer(MAX_DELAY_MS), () =>
      this.announce(announcement, (reply) => {
        this.clock.schedule(this.random.integer(MAX_DELAY_MS), () =>
          this.handleReply(reply, sentMs, announcement.released),
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

  private handleReply(
    { grant, accepted }: AnnouncementReply,
    sentMs: number,
    told: readonly ReleasedRow[],
  ): void {
    if (!this.isAlive || !accepted || this.clock.monotonicMs() - sentMs > REPLY_TIMEOUT_MS) return;
    this.released = this.released.filter((row) => !told.includes(row));
    if (grant === undefined) return;
    const left = this.held.filter(
      (row) => !grant.rows.some(({ from, to }) => from <= row.from && to >= row.to),
    );
    this.rows = grant.rows;
    this.grantEndMs = sentMs + grant.holdMs * (1 + CLOCK_DRIFT);
    if (left.length > 0) this.finishRows(left);
  }

  private finishRows(rows: readonly HeldRow[]): void {
    this.finishing = [...this.finishing, ...rows];
    this.clock.schedule(this.random.integer(MAX_WORK_MS), () => {
      this.finishing = this.finishing.filter((row) => !rows.includes(row));
      this.released = [...this.released, ...rows.map(({ from, to }) => ({ from, to, handover: 'h' }))];
    });
    this.clock.schedule(RELEASE_ANNOUNCE_DELAY_MS, () => this.send());
    this.clock.schedule(2 * RELEASE_ANNOUNCE_DELAY_MS, () => this.send());
  }
}
