import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '#core/Clock.js';
import { CallerConnection } from '#connection/CallerConnection.js';

/** Connections of callers and their open responses. At a shutdown, each connection ends after its last response. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();
  /** Open responses by connection, in the order of their requests. */
  private readonly responses = new Map<Socket, readonly ServerResponse[]>();
  private isLeaving = false;
  private isEnding = false;
  private onEnded: (() => void) | undefined;

  public constructor(private readonly clock: Clock) {}

  /** Adds an accepted connection. */
  public add(socket: Socket): void {
    const connection = new CallerConnection(socket, this.clock, () => undefined);
    this.connections.set(socket, connection);
    socket.once('close', () => this.remove(socket));
    if (this.isEnding) connection.end();
  }

  /** Adds the response to a request that was read. Returns false if the connection handles no more requests. */
  public open(socket: Socket, res: ServerResponse): boolean {
    if (this.connections.get(socket)?.isOpen !== true) return false;
    const earlier = this.responses.get(socket) ?? [];
    const last = earlier.at(-1);
    if (last !== undefined && hasAnnouncedClose(last)) return false;
    if (this.isLeaving) {
      if (last !== undefined) last.shouldKeepAlive = true;
      res.shouldKeepAlive = false;
    }
    this.responses.set(socket, [...earlier, res]);
    res.once('close', () => this.noteClosed(socket, res));
    return true;
  }

  /** Announces the end of each connection in the response to the last request that was read on it. */
  public leave(): void {
    this.isLeaving = true;
    for (const responses of this.responses.values()) {
      const last = responses.at(-1);
      if (last?.headersSent === false) last.shouldKeepAlive = false;
    }
  }

  /** Ends each connection now or after its open responses. */
  public end(): void {
    this.leave();
    this.isEnding = true;
    for (const [socket, connection] of this.connections) if (!this.responses.has(socket)) connection.end();
  }

  /**
   * Handles no more requests on a connection, which ends after its open responses. Returns false if there are any, but for that
   * of a request whose body is still being read.
   */
  public finish(socket: Socket): boolean {
    this.connections.get(socket)?.finish();
    const [first, ...others] = this.responses.get(socket) ?? [];
    if (first === undefined || (others.length === 0 && isReading(first))) return true;
    const last = others.at(-1) ?? first;
    if (!last.headersSent) last.shouldKeepAlive = false;
    return false;
  }

  /** Ends a connection after the bytes that were written. */
  public endOne(socket: Socket): void {
    this.connections.get(socket)?.end();
  }

  /** Resolves when all connections have ended. */
  public waitEnded(): Promise<void> {
    return new Promise((resolve) => {
      this.onEnded = resolve;
      this.checkEnded();
    });
  }

  private noteClosed(socket: Socket, res: ServerResponse): void {
    const open = (this.responses.get(socket) ?? []).filter((other) => other !== res);
    if (open.length > 0) {
      this.responses.set(socket, open);
      return;
    }
    this.responses.delete(socket);
    const connection = this.connections.get(socket);
    if (this.isEnding || connection?.isOpen === false) connection?.end();
  }

  private remove(socket: Socket): void {
    this.connections.delete(socket);
    this.responses.delete(socket);
    this.checkEnded();
  }

  private checkEnded(): void {
    if (this.connections.size === 0) this.onEnded?.();
  }
}

/** Whether a response has told its caller that the connection closes after it. */
function hasAnnouncedClose(res: ServerResponse): boolean {
  return res.headersSent && (!res.shouldKeepAlive || res.getHeader('connection') === 'close');
}

function isReading(res: ServerResponse): boolean {
  return !res.req.complete && !res.headersSent;
}
