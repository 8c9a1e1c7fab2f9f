import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { CrashMark } from '#admission/CrashMark.js';
import { quarantineChart } from '#admission/QuarantineChart.js';
import type { QuarantineResult } from '#admission/QuarantineResult.js';
import type { QuarantineRow } from '#admission/QuarantineRow.js';

/** Marks kept of one request at most; two uncleared ones already hold it. */
const MAX_MARKS = 16;

class Entry {
  public readonly fingerprint: string;
  /** Whether the mark is cleared, by death. */
  public readonly marks = new Map<string, boolean>();
  public readonly sinceMs: number;
  public changedMs: number;
  public snapshot: ChartSnapshot<undefined> = { value: quarantineChart.initial, context: undefined };

  public constructor(fingerprint: string, nowMs: number) {
    this.fingerprint = fingerprint;
    this.sinceMs = nowMs;
    this.changedMs = nowMs;
  }
}

/**
 * Requests that were in flight when a backend server died. Keeps at most `maxEntries` requests, each for `keepMs` after
 * its last change; above the bound the one that changed longest ago is forgotten, held ones last. Times are monotonic.
 */
export class Quarantine {
  private readonly maxEntries: number;
  private readonly keepMs: number;
  private readonly entries = new Map<string, Entry>();

  public constructor(maxEntries: number, keepMs: number) {
    this.maxEntries = maxEntries;
    this.keepMs = keepMs;
  }

  public get size(): number {
    return this.entries.size;
  }

  /** Marks the requests that were in flight at a death. Returns the marks to send to peers. */
  public mark(fingerprints: readonly string[], death: string, nowMs: number): readonly CrashMark[] {
    const marks = [...new Set(fingerprints)].map((fingerprint) => ({ fingerprint, death, cleared: false }));
    this.merge(marks, nowMs);
    return marks;
  }

  /** Merges marks of this daemon or of peers, in any order and any number of times. */
  public merge(marks: readonly CrashMark[], nowMs: number): void {
    for (const mark of marks) this.mergeOne(mark, nowMs);
  }

  /** Decides how a request may run. */
  public check(fingerprint: string, nowMs: number): QuarantineResult {
    const entry = this.findLive(fingerprint, nowMs);
    if (entry?.snapshot.value === 'held') return HOLD;
    return { kind: entry?.snapshot.value === 'marked' ? 'alone' : 'run' };
  }

  /**
   * Clears all marks of a request: after it ran alone without a death, or when an operator lifts its hold. Returns the
   * cleared marks to send to peers.
   */
  public clear(fingerprint: string, nowMs: number): readonly CrashMark[] {
    const entry = this.findLive(fingerprint, nowMs);
    const open = entry === undefined ? [] : openDeaths(entry);
    const marks = open.map((death) => ({ fingerprint, death, cleared: true }));
    this.merge(marks, nowMs);
    return marks;
  }

  /** Lists the requests that are marked or held. */
  public list(nowMs: number): readonly QuarantineRow[] {
    const live = [...this.entries.values()].filter((entry) => this.isLive(entry, nowMs));
    return live
      .filter(({ snapshot }) => snapshot.value !== 'clear')
      .map((entry) => ({
        fingerprint: entry.fingerprint,
        state: entry.snapshot.value,
        deaths: openDeaths(entry),
        sinceMs: entry.sinceMs,
      }));
  }

  /** Forgets what is older than the time for which marks are kept; called every few seconds. */
  public expire(nowMs: number): void {
    for (const [fingerprint, entry] of this.entries) {
      if (!this.isLive(entry, nowMs)) this.entries.delete(fingerprint);
    }
  }

  private mergeOne(mark: CrashMark, nowMs: number): void {
    const entry = this.findLive(mark.fingerprint, nowMs) ?? this.addEntry(mark.fingerprint, nowMs);
    const known = entry.marks.get(mark.death);
    if (known === true || known === mark.cleared) return;
    if (known === undefined && entry.marks.size >= MAX_MARKS) forgetMark(entry);
    entry.marks.set(mark.death, mark.cleared);
    entry.changedMs = nowMs;
    const type = mark.cleared ? 'cleared' : 'marked';
    const event = { type, marks: openDeaths(entry).length } as const;
    entry.snapshot = advanceChart(quarantineChart, entry.snapshot, event).snapshot;
    // Moved to the end, so that the map is ordered by the last change.
    this.entries.delete(mark.fingerprint);
    this.entries.set(mark.fingerprint, entry);
  }

  private addEntry(fingerprint: string, nowMs: number): Entry {
    if (this.entries.size >= this.maxEntries) this.forgetOne();
    const entry = new Entry(fingerprint, nowMs);
    this.entries.set(fingerprint, entry);
    return entry;
  }

  private forgetOne(): void {
    const [oldest] = this.entries.values();
    const entry = [...this.entries.values()].find(({ snapshot }) => snapshot.value !== 'held') ?? oldest;
    if (entry !== undefined) this.entries.delete(entry.fingerprint);
  }

  private findLive(fingerprint: string, nowMs: number): Entry | undefined {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && this.isLive(entry, nowMs) ? entry : undefined;
  }

  private isLive(entry: Entry, nowMs: number): boolean {
    return nowMs - entry.changedMs < this.keepMs;
  }
}

const HOLD: QuarantineResult = {
  kind: 'hold',
  error: { code: 'quarantined', step: 'quarantine', peer: '', ran: 'not run', status: 503 },
};

/** Forgets the oldest cleared mark, or the oldest of all if none is cleared. */
function forgetMark(entry: Entry): void {
  const deaths = [...entry.marks.keys()];
  const cleared = deaths.find((death) => entry.marks.get(death) === true);
  const death = cleared ?? deaths[0];
  if (death !== undefined) entry.marks.delete(death);
}

function openDeaths(entry: Entry): readonly string[] {
  return [...entry.marks].filter(([, cleared]) => !cleared).map(([death]) => death);
}
