import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { HeldBody } from '#core/HeldBody.js';
import type { CallerBodyReader } from '#mesh/CallerBodyReader.js';
import type { CallerExchangeEvent } from '#mesh/CallerExchangeEvent.js';
import type { CallerRequest } from '#mesh/CallerRequest.js';

/** State of a request on a caller's connection. */
export interface CallerExchange {
  readonly number: number;
  readonly socket: Socket;
  readonly res: ServerResponse;
  /** The request, whose body is empty until it has arrived. */
  readonly request: CallerRequest;
  readonly cursor: ChartCursor<CallerExchangeEvent>;
  readonly reader: CallerBodyReader;
  /** The body, once it has arrived. */
  readonly body: HeldBody | undefined;
  /** Cancels the time limit of the current state. */
  readonly cancelTimer: Cancel;
}
