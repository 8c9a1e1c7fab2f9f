/** Method, query, base version and body of a request to the administration API. */
export interface AdminQuery {
  readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Query parameters; empty values are left out. */
  readonly query?: Readonly<Record<string, string>>;
  /** Version that a change is based on, sent as `If-Match`. */
  readonly ifVersion?: number;
  /** Body as JSON text. */
  readonly body?: string;
}
