import type { Suspect } from '#control/Suspect.js';

/** Suspects that are collected for one write of each cell. Used by the cell task alone. */
export class SuspectList {
  private suspects: readonly Suspect[] = [];

  public get isEmpty(): boolean {
    return this.suspects.length === 0;
  }

  public add(suspect: Suspect): void {
    this.suspects = [...this.suspects, suspect];
  }

  /** Removes all suspects and returns them by the name of their cell. */
  public takeAll(): ReadonlyMap<string, readonly Suspect[]> {
    const { suspects } = this;
    this.suspects = [];
    const names = new Set(suspects.map(({ cellName }) => cellName));
    return new Map([...names].map((name) => [name, suspects.filter(({ cellName }) => cellName === name)]));
  }
}
