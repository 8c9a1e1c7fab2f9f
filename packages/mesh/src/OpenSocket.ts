import { connect, type Socket } from 'node:net';
import { createFailedSocket } from '#mesh/CreateFailedSocket.js';

/** Opens a TCP connection to `host:port`. An invalid address leads to an `error` event, as a failed connection does. */
export function openSocket(address: string): Socket {
  const colon = address.lastIndexOf(':');
  try {
    return connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
      noDelay: true,
      allowHalfOpen: true,
    });
  } catch (err) {
    return createFailedSocket(err);
  }
}
