/** Description of a process in both numberings of servers 1 and 2, and of its link to each witness. */
export interface ProcessText {
  readonly key: string;
  readonly plain: string;
  readonly swapped: string;
  readonly links: readonly string[];
}
