import { createServer } from 'node:net';
import { listenOnFreePort } from './ListenOnFreePort.js';

/** Finds a loopback port that is currently unused. */
export async function findFreePort(): Promise<number> {
  const server = createServer();
  const port = await listenOnFreePort(server);
  await new Promise((resolve) => server.close(resolve));
  return port;
}
