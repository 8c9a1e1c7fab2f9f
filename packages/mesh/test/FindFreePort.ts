import { createServer } from 'node:net';
import { listenOnFreePort } from './ListenOnFreePort.js';

/** Finds a port of the loopback address that is free at this moment. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listenOnFreePort(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}
