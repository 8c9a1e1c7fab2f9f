import type { Socket } from 'node:net';

/**
 * Bytes after which the flood stops, so that a reader without a limit fails a test instead of exhausting the
 * memory.
 */
const MAX_FLOOD_BYTES = 96 * 1024 * 1024;

/**
 * Writes `part` repeatedly, as fast as the reader consumes it, until the socket closes. Resolves with the bytes
 * written.
 */
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
