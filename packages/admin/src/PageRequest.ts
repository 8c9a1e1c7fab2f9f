/** The part of a list that a caller asks for. */
export interface PageRequest {
  /** Value of `next` of the page before; empty for the first page. */
  readonly after: string;
  /** Greatest number of items, from 1 to 500. */
  readonly limit: number;
}
