import type { Announcement } from '#mesh/Announcement.js';

/** Announcements that confirm a run. Single delayed ones may arrive after their sender has left. */
const NEEDED_ANNOUNCEMENTS = 3;

/** Bounds of the time between two announcements that count, as multiples of the announcement interval. */
const MIN_GAP = 0.5;
const MAX_GAP = 3;

/** Tells from its announcements alone whether a run goes on: they arrive at intervals, and their sequence rises. */
export class RunConfirmation {
  private readonly announceEveryMs: number;
  private incarnation = '';
  private sequence = 0;
  private count = 0;
  private countedMs = -Infinity;

  public constructor(announceEveryMs: number) {
    this.announceEveryMs = announceEveryMs;
  }

  /** Notes an announcement; returns whether its run is confirmed. */
  public note(incarnation: string, { sequence }: Announcement, nowMs: number): boolean {
    const gap = (nowMs - this.countedMs) / this.announceEveryMs;
    if (incarnation !== this.incarnation || gap > MAX_GAP) {
      this.incarnation = incarnation;
      this.sequence = sequence;
      this.count = 1;
      this.countedMs = nowMs;
    } else if (sequence > this.sequence && gap >= MIN_GAP) {
      this.sequence = sequence;
      this.count += 1;
      this.countedMs = nowMs;
    }
    return this.count >= NEEDED_ANNOUNCEMENTS;
  }
}
