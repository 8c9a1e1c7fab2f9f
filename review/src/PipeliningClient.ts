import { connect, type Socket } from 'node:net';
import type { Address } from '#mesh/Address.js';

/** Interval at which bytes are read. */
const READ_INTERVAL_MS = 10;

const MS_PER_SECOND = 1_000;

const HEAD_END = '\r\n\r\n';

/** Settings of a client and callbacks for what it sees. */
interface ClientOptions {
  readonly daemon: Address;
  /** Number of requests that are sent before the first of them is answered. */
  readonly depth: number;
  /** The rate at which the client reads responses. */
  readonly bytesPerSecond: number;
  /** Returns the id and the text of the next request. */
  readonly next: () => { readonly id: string; readonly text: string };
  /** Reports a complete response. */
  readonly onAnswered: (id: string, status: number) => void;
  /** Reports the end of the connection, and the requests on it that have no complete response. */
  readonly onEnded: (reason: string, openIds: readonly string[]) => void;
}

/**
 * A client that sends further requests on a kept connection before the first has been answered, reads at a limited rate, and
 * sends nothing more once a response closes the connection. It opens one connection only.
 */
export class PipeliningClient {
  private readonly options: ClientOptions;
  private readonly socket: Socket;
  private readonly timer: NodeJS.Timeout;
  private open: readonly string[] = [];
  private received = '';
  private isClosing = false;
  private isEnded = false;

  public constructor(options: ClientOptions) {
    this.options = options;
    this.socket = connect({ host: options.daemon.host, port: options.daemon.port, noDelay: true });
    this.keepReadingAfterFailedWrites();
    this.socket.on('readable', () => undefined);
    this.socket.on('error', (err: NodeJS.ErrnoException) => this.end(err.code ?? 'error'));
    this.socket.on('end', () => this.end('end of stream'));
    this.socket.on('connect', () => this.fill());
    const chunkBytes = Math.ceil((options.bytesPerSecond * READ_INTERVAL_MS) / MS_PER_SECOND);
    this.timer = setInterval(() => this.read(chunkBytes), READ_INTERVAL_MS);
  }

  /** Sends no further requests. */
  public finish(): void {
    this.isClosing = true;
  }

  public stop(): void {
    clearInterval(this.timer);
    this.isEnded = true;
    this.socket.destroy();
  }

  /**
   * A failed write destroys a socket of Node.js, and with it the bytes that have arrived and were not read yet. This client
   * reads on until the operating system reports the end or an error, as a sound client does.
   */
  private keepReadingAfterFailedWrites(): void {
    const { socket } = this;
    const state = socket as unknown as { readonly _readableState: object };
    const destroy = socket.destroy.bind(socket);
    const keepReading = (err?: NodeJS.ErrnoException): Socket => {
      if (err?.syscall !== 'write') return destroy(err);
      this.isClosing = true;
      Object.assign(state._readableState, { errored: null });
      return socket;
    };
    Object.assign(socket, { destroy: keepReading });
  }

  private fill(): void {
    while (!this.isClosing && !this.isEnded && this.open.length < this.options.depth) {
      const { id, text } = this.options.next();
      this.open = [...this.open, id];
      this.socket.write(text);
    }
  }

  private read(bytes: number): void {
    const chunk = this.socket.read(Math.min(bytes, this.socket.readableLength)) as Buffer | null;
    if (chunk === null) return;
    this.received += chunk.toString('latin1');
    while (this.takeResponse());
    this.fill();
  }

  /** Takes a complete response from the bytes that were read. Returns whether there was one. */
  private takeResponse(): boolean {
    const headEnd = this.received.indexOf(HEAD_END);
    if (headEnd < 0) return false;
    const head = this.received.slice(0, headEnd);
    const length = Number(/content-length: *(\d+)/i.exec(head)?.[1] ?? 0);
    const end = headEnd + HEAD_END.length + length;
    if (this.received.length < end) return false;
    this.received = this.received.slice(end);
    const [id, ...rest] = this.open;
    this.open = rest;
    if (/connection: *close/i.test(head)) this.isClosing = true;
    if (id !== undefined) this.options.onAnswered(id, Number(head.slice(9, 12)));
    return true;
  }

  private end(reason: string): void {
    if (this.isEnded) return;
    this.stop();
    this.options.onEnded(reason, this.open);
  }
}
