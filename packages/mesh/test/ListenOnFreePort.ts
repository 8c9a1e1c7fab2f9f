import type { Server } from 'node:net';

/** Starts listening on a loopback port assigned by the system, and returns the port. */
export async function listenOnFreePort(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  if (address === null || typeof address === 'string') throw new Error('the server has no port');
  return address.port;
}
