/** A fault in a settings or catalogue file. */
export interface DocumentFault {
  readonly file: string;
  /** Line of the fault, from 1. */
  readonly line: number;
  /** Column of the fault in UTF-16 units, from 1. */
  readonly column: number;
  /** Place in the document, for example `entries[2].limits.burst`; empty for the document itself. */
  readonly path: string;
  readonly message: string;
}
