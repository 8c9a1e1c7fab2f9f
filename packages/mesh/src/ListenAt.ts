import type { Server } from 'node:net';
import type { Address } from '#mesh/Address.js';

/**
 * Starts listening; rejects if the address is in use. `backlog` limits the connections that wait to be
 * accepted.
 */
export function listenAt(server: Server, { host, port }: Address, backlog?: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, backlog, () => resolve());
  });
}
