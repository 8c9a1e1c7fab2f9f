import { connect, type Socket } from 'node:net';
import type { Fleet } from '#load/Fleet.js';
import { listResponses } from '../../mesh/test/ListResponses.js';

/** Caller that sends requests on one connection without waiting for responses. */
export class PipeliningCaller {
  public readonly socket: Socket;
  private readonly sent: string[] = [];
  private text = '';

  public constructor(fleet: Fleet, serverId: string) {
    const { hostname, port } = new URL(fleet.callerUrl(serverId));
    this.socket = connect(Number(port), hostname);
    this.socket.on('data', (chunk) => (this.text += chunk.toString('latin1')));
    this.socket.on('error', () => undefined);
  }

  /** Sends a request of the class `look` for a response with a body of `bytes`. */
  public send(rid: string, bytes: number): void {
    if (!this.socket.writable) return;
    this.sent.push(rid);
    const headers =
      'host: x\r\namr-team: alpha\r\namr-class: look\r\namr-key: k\r\namr-deadline-ms: 5000\r\n';
    this.socket.write(`GET /v1/badges/look?rid=${rid}&bytes=${bytes} HTTP/1.1\r\n${headers}\r\n`);
  }

  /** Number of complete responses, which have the order of the requests. */
  public get responses(): number {
    return listResponses(this.text).filter((response) => response !== 'cut').length;
  }

  /** Requests without a complete response. */
  public get unanswered(): readonly string[] {
    return this.sent.slice(this.responses);
  }
}
