import { ObjectStoreServer } from '#standin/ObjectStoreServer.js';

const server = new ObjectStoreServer();
const port = await server.start(Number(process.argv[2] ?? 0));
console.log(`ready port=${port}`);
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => void server.stop());
}
