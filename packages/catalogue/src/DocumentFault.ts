/** An error in a settings or catalogue file, with its position. */
export interface DocumentFault {
  readonly file: string;
  /** Line number, starting at 1. */
  readonly line: number;
  /** Column in UTF-16 code units, starting at 1. */
  readonly column: number;
  /** Path in the document, for example `entries[2].limits.burst`; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}
