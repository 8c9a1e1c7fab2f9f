import { connect, type Socket } from 'node:net';
import { waitUntil } from './WaitUntil.js';

/** Caller that writes raw bytes to a socket, and whose reading can be paused. */
export class RawCaller {
  public text = '';
  public closed = false;
  public readonly socket: Socket;

  public constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.setEncoding('latin1');
    this.socket.on('data', (chunk: string) => (this.text += chunk));
    this.socket.on('error', () => undefined);
    this.socket.on('close', () => (this.closed = true));
  }

  /** Writes a request head of the class `look` with the key `k`, followed by `body`. */
  public send(line: string, headers: readonly string[] = [], body = ''): void {
    const common = ['host: x', 'amr-team: alpha', 'amr-class: look', 'amr-key: k'];
    this.socket.write([line, ...common, ...headers, '', body].join('\r\n'));
  }

  /** Waits until the received text contains `part` or the connection closes, and returns the text. */
  public async waitFor(part: string): Promise<string> {
    await waitUntil(`received: ${part}`, () => this.text.includes(part) || this.closed);
    return this.text;
  }

  public async waitClosed(): Promise<string> {
    await waitUntil('the connection closes', () => this.closed);
    return this.text;
  }
}
