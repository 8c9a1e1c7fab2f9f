import { advanceChart } from '#chart/AdvanceChart.js';
import type { ChartSnapshot } from '#chart/ChartSnapshot.js';
import type { CrashMark } from '#admission/CrashMark.js';
import { quarantineChart } from '#admission/QuarantineChart.js';
import type { QuarantineResult } from '#admission/QuarantineResult.js';
import type { QuarantineRow } from '#admission/QuarantineRow.js';

/** Bounds the marks kept for one request; two uncleared marks are enough to hold it. */
const MAX_MARKS_PER_REQUEST = 16;

/** Crash marks of one request, and the state of its chart. */
class MarkedEntry {
  public readonly fingerprint: string;
  /** Whether the mark of each crash was cleared, by the id of the crash. */
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
 * Table of requests that were in flight when a backend server crashed. A request with one mark runs only alone, with
 * two it is held. Keeps at most `maxEntries` requests, each for `keepMs` after its last change. If the table is full,
 * the least recently changed request is evicted, and a held one only if all are held. Times are monotonic, in
 * milliseconds.
 */
export class Quarantine {
  private readonly maxEntries: number;
  private readonly keepMs: number;
  private readonly entries = new Map<string, MarkedEntry>();

  public constructor(maxEntries: number, keepMs: number) {
    this.maxEntries = maxEntries;
    this.keepMs = keepMs;
  }

  public get size(): number {
    return this.entries.size;
  }

  /** Marks the requests that were in flight at a crash. Returns the marks to send to other daemons. */
  public mark(fingerprints: readonly string[], death: string, nowMs: number): readonly CrashMark[] {
    const marks = [...new Set(fingerprints)].map((fingerprint) => ({ fingerprint, death, cleared: false }));
    this.merge(marks, nowMs);
    return marks;
  }

  /** Merges marks of this or other daemons. The order and number of the merges make no difference. */
  public merge(marks: readonly CrashMark[], nowMs: number): void {
    for (const mark of marks) this.mergeOne(mark, nowMs);
  }

  /** Decides whether a request may run with others, only alone, or not at all. */
  public check(fingerprint: string, nowMs: number): QuarantineResult {
    const entry = this.findLive(fingerprint, nowMs);
    if (entry?.snapshot.value === 'held') return HOLD;
    return { kind: entry?.snapshot.value === 'marked' ? 'alone' : 'run' };
  }

  /**
   * Clears all marks of a request, after it got a response or when an operator lifts its hold. Returns the cleared
   * marks to send to other daemons.
   */
  public clear(fingerprint: string, nowMs: number): readonly CrashMark[] {
    const entry = this.findLive(fingerprint, nowMs);
    const open = entry === undefined ? [] : listUnclearedDeaths(entry);
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
        deaths: listUnclearedDeaths(entry),
        sinceMs: entry.sinceMs,
      }));
  }

  /** Removes the requests that did not change for `keepMs`; to be called every few seconds. */
  public expire(nowMs: number): void {
    for (const [fingerprint, entry] of this.entries) {
      if (!this.isLive(entry, nowMs)) this.entries.delete(fingerprint);
    }
  }

  private mergeOne(mark: CrashMark, nowMs: number): void {
    const entry = this.findLive(mark.fingerprint, nowMs) ?? this.addEntry(mark.fingerprint, nowMs);
    const known = entry.marks.get(mark.death);
    if (known === true || known === mark.cleared) return;
    if (known === undefined && entry.marks.size >= MAX_MARKS_PER_REQUEST) evictMark(entry);
    entry.marks.set(mark.death, mark.cleared);
    entry.changedMs = nowMs;
    const type = mark.cleared ? 'cleared' : 'marked';
    const event = { type, marks: listUnclearedDeaths(entry).length } as const;
    entry.snapshot = advanceChart(quarantineChart, entry.snapshot, event).snapshot;
    // Moves the entry to the end of the map, which is ordered by the last change.
    this.entries.delete(mark.fingerprint);
    this.entries.set(mark.fingerprint, entry);
  }

  private addEntry(fingerprint: string, nowMs: number): MarkedEntry {
    if (this.entries.size >= this.maxEntries) this.evictOne();
    const entry = new MarkedEntry(fingerprint, nowMs);
    this.entries.set(fingerprint, entry);
    return entry;
  }

  private evictOne(): void {
    const [oldest] = this.entries.values();
    const entry = [...this.entries.values()].find(({ snapshot }) => snapshot.value !== 'held') ?? oldest;
    if (entry !== undefined) this.entries.delete(entry.fingerprint);
  }

  private findLive(fingerprint: string, nowMs: number): MarkedEntry | undefined {
    const entry = this.entries.get(fingerprint);
    return entry !== undefined && this.isLive(entry, nowMs) ? entry : undefined;
  }

  private isLive(entry: MarkedEntry, nowMs: number): boolean {
    return nowMs - entry.changedMs < this.keepMs;
  }
}

const HOLD: QuarantineResult = {
  kind: 'hold',
  error: { code: 'quarantined', step: 'quarantine', peer: '', ran: 'not run', status: 503 },
};

/** Removes the oldest cleared mark, or the oldest mark if none is cleared. */
function evictMark(entry: MarkedEntry): void {
  const deaths = [...entry.marks.keys()];
  const cleared = deaths.find((death) => entry.marks.get(death) === true);
  const death = cleared ?? deaths[0];
  if (death !== undefined) entry.marks.delete(death);
}

function listUnclearedDeaths(entry: MarkedEntry): readonly string[] {
  return [...entry.marks].filter(([, cleared]) => !cleared).map(([death]) => death);
}
