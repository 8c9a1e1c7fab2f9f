/** Everything but the path of a request to the administration API. */
export interface AdminQuery {
  readonly method?: 'GET' | 'PUT' | 'POST' | 'DELETE';
  /** Query parameters; empty values are left out. */
  readonly query?: Readonly<Record<string, string>>;
  /** Version that a change is based on. */
  readonly ifVersion?: number;
  /** Text of the body. */
  readonly body?: string;
}
