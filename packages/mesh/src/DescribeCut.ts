import type { Socket } from 'node:net';
import type { LogFields } from '#core/LogFields.js';
import type { CallerExchange } from '#mesh/CallerExchange.js';

/** Describes a connection that the daemon ended with open requests, for its log line. */
export function describeCut(socket: Socket, exchanges: readonly CallerExchange[]): LogFields {
  return {
    step: 'deliver',
    peer: socket.remoteAddress ?? '',
    ids: exchanges.map(({ request, cursor }) => `${request.id}/${cursor.state}`).join(','),
    unsentBytes: socket.writableLength,
  };
}
