import { BackendServer } from '#standin/BackendServer.js';
import type { BackendServerOptions } from '#standin/BackendServerOptions.js';

/** Runs a stand-in backend server until it is ended; `text` holds its options as JSON. */
export async function runStandinBackend(text: string): Promise<void> {
  const server = new BackendServer(JSON.parse(text) as BackendServerOptions);
  const port = await server.start();
  process.stdout.write(`ready port=${port}\n`);
}
