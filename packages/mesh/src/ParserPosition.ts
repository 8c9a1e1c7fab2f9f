/** Fields of the HTTP parser that its type declarations leave out. */
export interface ParserPosition {
  /** Index of the next byte to parse in the current chunk, and the end of the chunk. */
  readonly offset: number;
  readonly end: number;
}
