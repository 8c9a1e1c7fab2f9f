import { connect, type Socket } from 'node:net';
import { createFailedSocket } from '#mesh/CreateFailedSocket.js';

/** Opens a connection to `host:port`. One that cannot be connected to fails by its events, as any other. */
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
