import { ObjectStoreServer } from '#standin/ObjectStoreServer.js';

/** Runs the stand-in object store until it is ended. */
export async function runStandinStore(): Promise<void> {
  const server = new ObjectStoreServer();
  const port = await server.start(0);
  process.stdout.write(`ready port=${port}\n`);
}
