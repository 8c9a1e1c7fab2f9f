import type { AdminAuthor } from '#admin/AdminAuthor.js';

/** A decoded request to the administration API. */
export interface AdminCall {
  readonly author: AdminAuthor;
  /** Values of the placeholders in the path of the route. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  /** Value of `If-Match` as it was sent; empty without one. */
  readonly ifMatch: string;
  readonly body: string;
  /** Wall-clock time of arrival, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}
