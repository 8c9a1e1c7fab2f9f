/** Position and size of a page. */
export interface PageRequest {
  /** Value of `next` in the previous page; empty for the first page. */
  readonly after: string;
  /** Maximum number of items, from 1 to 500. */
  readonly limit: number;
}
