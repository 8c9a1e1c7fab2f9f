import { connect, type Socket } from 'node:net';
import type { Address } from '#mesh/Address.js';

/** Interval at which bytes are read. */
const READ_INTERVAL_MS = 20;

const MS_PER_SECOND = 1_000;

/** A client that sends one request on a connection that it keeps, and reads the response at a limited rate. */
export class SlowDownload {
  /** Resolves when the response is complete or the connection has ended. */
  public readonly ended: Promise<void>;
  private readonly socket: Socket;
  private head = '';
  private bodyBytes = 0;
  private length: number | undefined;
  private isEnded = false;

  /** Sends the text of a request; `bytesPerSecond` limits how fast its response is read. */
  public constructor({ host, port }: Address, request: string, bytesPerSecond: number) {
    const chunkBytes = Math.ceil((bytesPerSecond * READ_INTERVAL_MS) / MS_PER_SECOND);
    this.socket = connect({ host, port, noDelay: true });
    this.socket.write(request);
    this.ended = new Promise((resolve) => {
      // Without a listener for data, the socket reads only as much as `read` takes from its buffer.
      const timer = setInterval(() => {
        this.take(chunkBytes);
        if (!this.isComplete && !this.isEnded) return;
        clearInterval(timer);
        this.socket.destroy();
        resolve();
      }, READ_INTERVAL_MS);
    });
    this.socket.on('readable', () => undefined);
    this.socket.on('error', () => this.noteEnd());
    this.socket.on('end', () => this.noteEnd());
    this.socket.on('close', () => this.noteEnd());
  }

  /** Whether the response arrived whole. */
  public get isComplete(): boolean {
    return this.length !== undefined && this.bodyBytes >= this.length;
  }

  /** Whether any byte of the response arrived. */
  public get hasBegun(): boolean {
    return this.head !== '';
  }

  /** Status and number of body bytes that arrived. */
  public describe(): string {
    const [statusLine = ''] = this.head.split('\r\n');
    return `${statusLine}, ${this.bodyBytes} of ${this.length ?? '?'} body bytes`;
  }

  private noteEnd(): void {
    this.isEnded = true;
  }

  private take(bytes: number): void {
    const available = Math.min(bytes, this.socket.readableLength);
    // Reading nothing lets the socket notice the end of the stream.
    const chunk = this.socket.read(available) as Buffer | null;
    if (chunk === null) return;
    if (this.length !== undefined) {
      this.bodyBytes += chunk.length;
      return;
    }
    this.head += chunk.toString('latin1');
    const end = this.head.indexOf('\r\n\r\n');
    if (end < 0) return;
    this.bodyBytes = this.head.length - end - 4;
    this.head = this.head.slice(0, end);
    this.length = Number(/content-length: *(\d+)/i.exec(this.head)?.[1] ?? 0);
  }
}
