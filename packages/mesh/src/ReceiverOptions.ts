import type { Clock } from '#core/Clock.js';
import type { Logger } from '#core/Logger.js';
import type { Order } from '#mesh/Order.js';
import type { OrderReply } from '#mesh/OrderReply.js';

/** What `ReceiverTask` is created with. */
export interface ReceiverOptions {
  readonly host: string;
  readonly port: number;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Revisions of the store up to which this daemon knows changes. */
  readonly revisions: () => readonly number[];
  /** Told the revisions that another daemon knows. */
  readonly onHint: (revisions: readonly number[]) => void;
  readonly onOrder: (order: Order, reply: OrderReply) => void;
  /** Handlers of the calls between daemons, by method. */
  readonly calls: Readonly<Record<string, (params: unknown) => unknown>>;
}
