import type { Socket } from 'node:net';

/** Bytes after which a flood ends, so that a reader without a limit fails a test instead of using up the memory. */
const MAX_FLOOD_BYTES = 96 * 1024 * 1024;

/** Writes `part` as fast as the reader takes it until the socket is closed, and resolves with the bytes written. */
export function floodSocket(socket: Socket, part: Buffer): Promise<number> {
  let bytes = 0;
  const write = (): void => {
    while (!socket.destroyed && bytes < MAX_FLOOD_BYTES) {
      bytes += part.length;
      if (!socket.write(part)) return;
    }
  };
  socket.on('drain', write);
  write();
  return new Promise((resolve) => socket.on('close', () => resolve(bytes)));
}
