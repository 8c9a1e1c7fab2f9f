import type { Order } from '#mesh/Order.js';
import type { ServerLink } from '#mesh/ServerLink.js';

/** An order that runs at the backend server. */
export interface RunningOrder {
  readonly order: Order;
  readonly link: ServerLink;
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly sentMs: number;
  readonly expectedMs: number;
}
