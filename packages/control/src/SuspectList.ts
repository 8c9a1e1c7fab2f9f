import type { Suspect } from '#control/Suspect.js';

/** Collects suspects, so that one write per cell covers all of them. Used only by the cell task. */
export class SuspectList {
  private suspects: readonly Suspect[] = [];

  public get isEmpty(): boolean {
    return this.suspects.length === 0;
  }

  public add(suspect: Suspect): void {
    this.suspects = [...this.suspects, suspect];
  }

  /** Removes all suspects and returns them grouped by cell name. */
  public takeAll(): ReadonlyMap<string, readonly Suspect[]> {
    const { suspects } = this;
    this.suspects = [];
    const names = new Set(suspects.map(({ cellName }) => cellName));
    return new Map([...names].map((name) => [name, suspects.filter(({ cellName }) => cellName === name)]));
  }
}
