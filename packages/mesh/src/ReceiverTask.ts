import {
  constants,
  createServer,
  sensitiveHeaders,
  type Http2Server,
  type Http2Session,
  type ServerHttp2Stream,
} from 'node:http2';
import { JSONRPCServer } from 'json-rpc-2.0';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { BodyFault } from '#core/BodyFault.js';
import { BodyBudget } from '#core/BodyBudget.js';
import type { HeldBody } from '#core/HeldBody.js';
import { Task } from '#core/Task.js';
import { decodeBackendRequest } from '#mesh/DecodeBackendRequest.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { encodeBackendResult } from '#mesh/EncodeBackendResult.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import { listenAt } from '#mesh/ListenAt.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import type { ClockReading } from '#mesh/ClockReading.js';
import { readClocks } from '#mesh/ReadClocks.js';
import type { ReceiverMessage } from '#mesh/ReceiverMessage.js';
import type { ReceiverOptions } from '#mesh/ReceiverOptions.js';
import { packBody } from '#mesh/PackBody.js';
import { parseRevisions } from '#mesh/ParseRevisions.js';
import { readBodyLength } from '#mesh/ReadBodyLength.js';
import type { RelayHead } from '#mesh/RelayHead.js';
import { relayPaths } from '#mesh/RelayPaths.js';
import { TransitMeters } from '#mesh/TransitMeters.js';
import { unpackBody } from '#mesh/UnpackBody.js';

/** Flow-control window, large enough for most request bodies, in bytes. */
const WINDOW_BYTES = 4 * 1024 * 1024;

/** Memory of one session, above which new streams are rejected, in MB: eight unsent responses of the largest size. */
const MAX_SESSION_MB = 64;

/** Rejected streams after which `node:http2` breaks off a session; its other streams must not end with it. */
const MAX_REJECTED_STREAMS = 0xffff_ffff;

/**
 * Time after its last result in which a peer reads it and closes the session, in milliseconds: a full window takes 2.4 s on
 * a link of 14 Mbit/s. A stop does not wait longer for a peer that is frozen or cut off.
 */
const DELIVERY_TIMEOUT_MS = 3_000;

const BAD_REQUEST = 400;

type OpenedStream = Extract<ReceiverMessage, { readonly type: 'opened' }>;

/**
 * Receives requests and calls from other daemons. Owns the listening socket and its sessions. At the end of a stop, a
 * session gets GOAWAY, by which its peer knows which streams are not processed, and the peer closes it when it has read
 * the results of the others.
 */
export class ReceiverTask extends Task<ReceiverMessage> {
  private readonly options: ReceiverOptions;
  private readonly server: Http2Server;
  /** Memory budget of the bodies on all open streams. */
  private readonly budget = new BodyBudget(maxBodiesBytes);
  private readonly rpc: JSONRPCServer;
  /** Monotonic time at which the last stream of each session was closed, in milliseconds. */
  private readonly sessions = new Map<Http2Session, number>();
  /** Streams whose body has not arrived completely. */
  private readonly reading = new Set<ServerHttp2Stream>();
  /** Streams whose request was passed on and whose result is not written. */
  private readonly requests = new Set<ServerHttp2Stream>();
  private readonly transits = new TransitMeters();
  private ending = false;

  public constructor(options: ReceiverOptions) {
    super();
    this.options = options;
    this.rpc = new JSONRPCServer({
      errorListener: (message) => options.logger.log('callRefused', { step: 'rpc', message }),
    });
    for (const [method, handle] of Object.entries(options.calls)) this.rpc.addMethod(method, handle);
    this.server = createServer({
      settings: { initialWindowSize: WINDOW_BYTES, enablePush: false },
      maxSessionMemory: MAX_SESSION_MB,
      maxSessionRejectedStreams: MAX_REJECTED_STREAMS,
    });
    this.server.on('session', (session) => {
      this.sessions.set(session, -Infinity);
      if (this.ending) session.close();
      if (!session.destroyed) session.setLocalWindowSize(WINDOW_BYTES);
      session.on('close', () => this.sessions.delete(session));
      // `node:http2` closes a broken session. Its requests continue, since their sender may ask for the results again.
      session.on('error', (err: Error) =>
        options.logger.log('sessionBroken', { step: 'rpc', message: err.message }),
      );
    });
    this.server.on('stream', (stream, headers) => {
      const path = headers[':path'] ?? '';
      const head = {
        kind: readText(headers['amr-kind']),
        detail: readText(headers['amr-detail']),
        revisions: parseRevisions(headers['amr-revisions']),
      };
      const encoding = headers['amr-encoding']?.toString();
      const length = readBodyLength(headers);
      this.post({ type: 'opened', stream, path, head, encoding, length });
    });
  }

  /** Number of requests whose result is not written and, at the end of a stop, of sessions with undelivered results. */
  public get load(): number {
    return this.requests.size + (this.ending ? this.countUndelivered() : 0);
  }

  /** Starts listening; rejects if the address is in use. */
  public listen(): Promise<void> {
    return listenAt(this.server, this.options);
  }

  public override stop(): void {
    super.stop();
    for (const session of this.sessions.keys()) session.destroy();
    this.server.close();
  }

  protected override receive(message: ReceiverMessage): void {
    switch (message.type) {
      case 'opened':
        this.open(message);
        return;
      case 'ending':
        this.end();
    }
  }

  private end(): void {
    this.ending = true;
    this.server.close();
    for (const stream of this.reading) this.refuse(stream);
    for (const session of this.sessions.keys()) session.close();
  }

  private countUndelivered(): number {
    const sinceMs = this.options.clock.monotonicMs() - DELIVERY_TIMEOUT_MS;
    return [...this.sessions.values()].filter((closedMs) => closedMs > sinceMs).length;
  }

  private noteClosed(stream: ServerHttp2Stream, session: Http2Session | undefined): void {
    this.reading.delete(stream);
    this.requests.delete(stream);
    if (session !== undefined && this.sessions.has(session))
      this.sessions.set(session, this.options.clock.monotonicMs());
  }

  private open(message: OpenedStream): void {
    const { stream, head, encoding, length } = message;
    const { session } = stream;
    this.options.onHint(head.revisions);
    // A close event follows each error. A request continues without its stream.
    stream.on('error', () => undefined);
    stream.on('close', () => this.noteClosed(stream, session));
    if (this.ending) {
      this.refuse(stream);
      return;
    }
    this.collectBody(stream, (held) => {
      const { bytes } = held;
      if (bytes.length !== (length ?? bytes.length)) {
        this.refuseMalformed(stream, `the body has ${bytes.length} of ${length} bytes`);
        return;
      }
      unpackBody(bytes, encoding).caseOf({
        Left: (reason) => this.refuseMalformed(stream, reason),
        Right: (body) => this.receiveUnpacked(message, held, body),
      });
    });
  }

  private receiveUnpacked({ stream, path, head }: OpenedStream, held: HeldBody, body: Buffer): void {
    const unpacked = held.replace(body);
    if (unpacked === undefined) {
      this.refuseBody(stream, 'overBudget');
      return;
    }
    // The request continues if its stream is closed; its sender sends the body again.
    stream.on('close', () => unpacked.release());
    if (path === relayPaths.requests) this.receiveRequest(stream, head, body);
    else this.receiveCall(stream, body);
  }

  private collectBody(stream: ServerHttp2Stream, done: (body: HeldBody) => void): void {
    const body = new BodyBuffer(maxBodyBytes, this.budget);
    this.reading.add(stream);
    stream.on('data', (chunk: Buffer) => {
      const fault = this.reading.has(stream) ? body.add(chunk) : undefined;
      if (fault !== undefined) this.refuseBody(stream, fault);
    });
    stream.on('end', () => {
      // A stream that was refused ends, too.
      if (!this.reading.delete(stream)) return;
      const held = body.hold();
      stream.on('close', () => held.release());
      done(held);
    });
    stream.on('close', () => body.discard());
  }

  private refuseBody(stream: ServerHttp2Stream, fault: BodyFault): void {
    const peer = stream.session?.socket.remoteAddress ?? '';
    this.options.logger.log('messageTooLarge', { step: 'rpc', peer, reason: describeBodyFault(fault) });
    this.refuse(stream);
  }

  /** Closes a stream with the code that tells the sender that the request was not processed. */
  private refuse(stream: ServerHttp2Stream): void {
    this.reading.delete(stream);
    stream.close(constants.NGHTTP2_REFUSED_STREAM);
  }

  private receiveRequest(stream: ServerHttp2Stream, head: RelayHead, body: Buffer): void {
    const now = readClocks(this.options.clock);
    const peer = stream.session?.socket.remoteAddress ?? '';
    const measureTransitMs = (sent: ClockReading): number => this.transits.measureMs(peer, sent, now);
    decodeBackendRequest(head, body, now.monotonicMs, measureTransitMs).caseOf({
      Left: (message) => this.refuseMalformed(stream, message),
      Right: (request) => {
        if (!stream.destroyed) this.requests.add(stream);
        this.options.onRequest(request, (result) => sendResult(stream, result, this.options.revisions()));
      },
    });
  }

  private refuseMalformed(stream: ServerHttp2Stream, message: string): void {
    this.options.logger.log('messageMalformed', { step: 'parse', message });
    if (!stream.destroyed && !stream.closed) stream.respond({ ':status': BAD_REQUEST }, { endStream: true });
  }

  private receiveCall(stream: ServerHttp2Stream, body: Buffer): void {
    // The library rejects a batch that contains non-objects, and JSON.stringify throws if the id is nested too deeply.
    void this.rpc
      .receiveJSON(body.toString())
      .then((response) => JSON.stringify(response))
      .then(
        (text) => sendCallResult(stream, text),
        (err: unknown) => this.refuseMalformed(stream, String(err)),
      );
  }
}

function sendCallResult(stream: ServerHttp2Stream, text: string): void {
  if (stream.destroyed || stream.closed) return;
  const body = Buffer.from(text);
  stream.respond({ ':status': 200, 'amr-kind': 'call', 'amr-detail': '', 'content-length': body.length });
  stream.end(body);
}

function sendResult(stream: ServerHttp2Stream, result: BackendResult, revisions: readonly number[]): void {
  if (stream.destroyed || stream.closed) return;
  const { kind, detail } = encodeBackendResult(result);
  const body = result.type === 'answered' ? packBody(result.response.body) : undefined;
  stream.respond({
    ':status': 200,
    'amr-kind': kind,
    'amr-detail': detail,
    'amr-revisions': revisions.join('.'),
    'content-length': body?.bytes.length ?? 0,
    ...(body === undefined || body.encoding === 'plain' ? {} : { 'amr-encoding': body.encoding }),
    [sensitiveHeaders]: ['amr-detail', 'content-length'],
  });
  stream.end(body?.bytes);
}

function readText(value: string | readonly string[] | undefined): string {
  return typeof value === 'string' ? value : '';
}
