import type { Socket } from 'node:net';
import { ChartCursor } from '#chart/ChartCursor.js';
import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { callerConnectionChart } from '#connection/CallerConnectionChart.js';
import type { CallerConnectionEvent } from '#connection/CallerConnectionEvent.js';

/** Time for which an ended connection waits for the caller to close, in milliseconds. */
const LINGER_TIMEOUT_MS = 5_000;

/**
 * Ends a caller's connection without losing responses: sends all bytes and the end of the stream, and discards what the caller
 * still sends until it closes or a time limit passes. Closing a socket with unread bytes would reset the connection, and a reset
 * destroys responses that the caller has not received yet.
 */
export class CallerConnection {
  private readonly socket: Socket;
  private readonly clock: Clock;
  private readonly onDiscarded: (bytes: number) => void;
  private readonly cursor = new ChartCursor<CallerConnectionEvent>(callerConnectionChart);
  private cancelTimer: Cancel = () => undefined;
  private discardedBytes = 0;

  /** Takes over the end of a connection that `node:http` serves. `onDiscarded` is told how many bytes were not read. */
  public constructor(socket: Socket, clock: Clock, onDiscarded: (bytes: number) => void) {
    this.socket = socket;
    this.clock = clock;
    this.onDiscarded = onDiscarded;
    // `node:http` calls this method after the last response, and would close the socket while the caller still sends.
    socket.destroySoon = () => this.end();
    socket.once('close', () => this.noteClosed());
  }

  /** Whether the next request on the connection is handled. */
  public get isOpen(): boolean {
    return this.cursor.state === 'open' && !this.socket.destroyed;
  }

  /** Whether all responses were written and the caller has not closed yet. */
  public get isLingering(): boolean {
    return this.cursor.state === 'lingering';
  }

  /** Handles no more requests; the connection ends after the response to the last one. */
  public finish(): void {
    this.cursor.send({ type: 'lastRead' });
  }

  /** Ends the daemon's side after the bytes that were written, and discards what the caller sends. */
  public end(): void {
    const { socket } = this;
    if (socket.destroyed || !this.cursor.send({ type: 'ended' })) return;
    this.cancelTimer = scheduleAfterReads(this.clock, LINGER_TIMEOUT_MS, () => this.expire());
    socket.setTimeout(0);
    socket.end();
    // The parser of `node:http` no longer gets the bytes; it would keep a response for each request that it reads.
    socket.removeAllListeners('data');
    socket.on('data', (chunk: Buffer) => {
      this.discardedBytes += chunk.length;
    });
    socket.resume();
  }

  private expire(): void {
    if (this.cursor.send({ type: 'expired' })) this.socket.destroy();
  }

  private noteClosed(): void {
    if (this.discardedBytes > 0) this.onDiscarded(this.discardedBytes);
    this.cancelTimer();
    this.cursor.send({ type: 'closed' });
  }
}
