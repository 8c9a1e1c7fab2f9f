/** State of the parser of answers that its types leave out. */
export interface ParserPosition {
  /** Where it stands in the bytes that it was given, and where they end. */
  readonly offset: number;
  readonly end: number;
}
