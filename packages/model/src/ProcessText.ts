/** Description of a process: its own text in both numberings of servers 1 and 2, and its text for each witness. */
export interface ProcessText {
  readonly key: string;
  readonly plain: string;
  readonly swapped: string;
  readonly links: readonly string[];
}
