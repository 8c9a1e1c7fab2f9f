import type { Socket } from 'node:net';

/**
 * Counts what callers send between requests. Node.js ignores empty lines before a request, so they count towards none of its
 * limits.
 */
export class HeadBytes {
  private readonly maxBytes: number;
  /** Bytes that a connection had received when its last request was answered. */
  private readonly starts = new WeakMap<Socket, number>();

  public constructor(maxBytes: number) {
    this.maxBytes = maxBytes;
  }

  /** Notes that the next bytes on the connection belong to the next request. */
  public noteIdle(socket: Socket): void {
    this.starts.set(socket, socket.bytesRead);
  }

  /** Whether a connection without an open request has sent more than the head of one. */
  public isExceeded(socket: Socket): boolean {
    return socket.bytesRead - (this.starts.get(socket) ?? 0) > this.maxBytes;
  }
}
