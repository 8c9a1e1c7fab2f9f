import type { RouteSubject } from '#routes/RouteSubject.js';

/** Something in a configuration that an operator should look at before it is sent. */
export interface RouteFinding {
  /** An `error` makes an entry useless or wrong; a `warning` may be intended. */
  readonly severity: 'error' | 'warning';
  readonly subject: RouteSubject;
  readonly message: string;
}
