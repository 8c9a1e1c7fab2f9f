import type { CrashMark } from '#admission/CrashMark.js';
import { markRetentionMs } from '#mesh/MarkRetentionMs.js';
import type { StoredCrashMark } from '#mesh/StoredCrashMark.js';

/** Capacity of the list. It bounds the stored object, and with it the writes that a flood of crashing requests causes. */
const MAX_MARKS = 200;

interface ListedMark {
  readonly mark: CrashMark;
  /** Wall-clock time of the last change, in milliseconds since the Unix epoch. */
  readonly markedMs: number;
  /** Number of the change, counted over the list. */
  readonly version: number;
}

/** The marks of crashing requests that one daemon has to tell the others, the most recently changed last. */
export class CrashMarkList {
  private marks: ReadonlyMap<string, ListedMark> = new Map();
  private lastVersion = 0;

  /** Number of the last change. */
  public get version(): number {
    return this.lastVersion;
  }

  /** Adds marks of this process. */
  public add(marks: readonly CrashMark[], nowMs: number): void {
    this.merge(marks.map((mark) => ({ ...mark, markedMs: nowMs })));
  }

  /** Merges marks; a cleared mark stays cleared. */
  public merge(marks: readonly StoredCrashMark[]): void {
    const merged = new Map(this.marks);
    for (const { markedMs, fingerprint, death, cleared } of marks) {
      const name = `${fingerprint} ${death}`;
      const known = merged.get(name);
      if (known?.mark.cleared === true || known?.mark.cleared === cleared) continue;
      this.lastVersion += 1;
      merged.delete(name);
      merged.set(name, { mark: { fingerprint, death, cleared }, markedMs, version: this.lastVersion });
    }
    this.marks = new Map([...merged].slice(-MAX_MARKS));
  }

  /** Removes the marks that no daemon keeps any longer. */
  public expire(nowMs: number): void {
    this.marks = new Map([...this.marks].filter(([, { markedMs }]) => nowMs - markedMs < markRetentionMs));
  }

  /** Lists the marks that changed after `version`. */
  public listAfter(version: number): readonly CrashMark[] {
    return [...this.marks.values()].filter((each) => each.version > version).map(({ mark }) => mark);
  }

  /** Returns the marks in the form in which they are stored. */
  public describe(): readonly StoredCrashMark[] {
    return [...this.marks.values()].map(({ mark, markedMs }) => ({ ...mark, markedMs }));
  }
}
