import type { AdminAuthor } from '#admin/AdminAuthor.js';

/** An authenticated and decoded request to the administration API. */
export interface AdminCall {
  readonly author: AdminAuthor;
  /** Values of the placeholders in the path of the route. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: Readonly<Record<string, string>>;
  /** Value of the header `If-Match`; empty if it is missing. */
  readonly ifMatch: string;
  readonly body: string;
  /** Wall-clock time of arrival, in milliseconds since the Unix epoch. */
  readonly nowMs: number;
}
