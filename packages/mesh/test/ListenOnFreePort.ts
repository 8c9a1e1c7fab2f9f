import type { Server } from 'node:net';

/** Makes a server listen on a loopback port that the system picks, and returns the port. */
export async function listenOnFreePort(server: Server): Promise<number> {
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const address = server.address();
  if (address === null || typeof address === 'string') throw new Error('no port');
  return address.port;
}
