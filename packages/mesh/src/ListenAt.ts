import type { Server } from 'node:net';
import type { Address } from '#mesh/Address.js';

/** Makes a server listen; rejects if the address is in use. `backlog` is the number of connections that may wait. */
export function listenAt(server: Server, { host, port }: Address, backlog?: number): Promise<void> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, backlog, () => resolve());
  });
}
