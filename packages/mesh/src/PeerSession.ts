import { constants, sensitiveHeaders, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';
import { ChartCursor } from '#chart/ChartCursor.js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { ByteBudget } from '#core/ByteBudget.js';
import { describeBodyFault } from '#mesh/DescribeBodyFault.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import { openSession } from '#mesh/OpenSession.js';
import { packBody } from '#mesh/PackBody.js';
import { parseRevisions } from '#mesh/ParseRevisions.js';
import { readBodyLength } from '#mesh/ReadBodyLength.js';
import { peerLinkChart } from '#mesh/PeerLinkChart.js';
import type { PeerLinkEvent } from '#mesh/PeerLinkEvent.js';
import type { PeerReply } from '#mesh/PeerReply.js';
import type { RelayHead } from '#mesh/RelayHead.js';
import { unpackBody } from '#mesh/UnpackBody.js';

/** A session that is not established within this time is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450;

/** Silence of a session that carries calls after which it is probed, in milliseconds. */
const SILENCE_MS = 250;

/** A probe that is not answered within this time ends the session, in milliseconds. */
const PROBE_TIMEOUT_MS = 600;

/** Flow-control window, large enough for any usual answer, in bytes. */
const WINDOW_BYTES = 4 * 1024 * 1024;

/** An HTTP/2 session with another daemon. It is probed while a call waits in silence, and ends if the probe is lost. */
export class PeerSession {
  private readonly session: ClientHttp2Session;
  private readonly cursor = new ChartCursor<PeerLinkEvent>(peerLinkChart);
  private readonly now: () => number;
  private readonly budget: ByteBudget;
  private readonly bornMs: number;
  private calls = 0;
  private heardMs: number;
  private connected = false;
  private probedMs = 0;

  /** Takes the memory of answers that it reads from `budget`. */
  public constructor(
    address: string,
    now: () => number,
    budget: ByteBudget,
    onClose: (failed: boolean) => void,
  ) {
    this.now = now;
    this.budget = budget;
    this.bornMs = now();
    this.heardMs = this.bornMs;
    this.session = openSession(address, {
      settings: { enablePush: false, initialWindowSize: WINDOW_BYTES },
    });
    this.session.on('connect', () => {
      if (!this.session.destroyed) this.session.setLocalWindowSize(WINDOW_BYTES);
      this.connected = true;
      this.cursor.send({ type: 'connected' });
      this.hear();
    });
    // The close event follows and tells the task.
    this.session.on('error', () => undefined);
    this.session.on('goaway', () => this.session.close());
    this.session.on('close', () => {
      const failed = this.cursor.state === 'connecting';
      this.cursor.send({ type: 'closed' });
      onClose(failed);
    });
  }

  /** Whether new calls may be sent. */
  public get isOpen(): boolean {
    return !this.session.closed && !this.session.destroyed && this.cursor.state !== 'closed';
  }

  /** Whether calls are waiting for their answer. */
  public get isBusy(): boolean {
    return this.calls > 0;
  }

  /** Whether the session is being probed after a silence. */
  public get isSuspect(): boolean {
    return this.cursor.state === 'probing';
  }

  /** Sends a call with a head and a body, and tells its end once. */
  public send(path: string, head: RelayHead, body: Buffer, reply: (result: PeerReply) => void): void {
    if (this.calls === 0) this.heardMs = this.now();
    this.calls += 1;
    const packed = packBody(body);
    const stream = this.session.request(
      {
        ':method': 'POST',
        ':path': path,
        'amr-kind': head.kind,
        'amr-detail': head.detail,
        'amr-revisions': head.revisions.join('.'),
        'content-length': packed.bytes.length,
        ...(packed.encoding === 'plain' ? {} : { 'amr-encoding': packed.encoding }),
        [sensitiveHeaders]: ['amr-detail', 'content-length'],
      },
      { endStream: body.length === 0 },
    );
    if (body.length > 0) stream.end(packed.bytes);
    this.collect(stream, reply);
  }

  /** Probes a silent session and ends one whose probe was lost. */
  public check(): void {
    const nowMs = this.now();
    if (this.cursor.state === 'connecting') {
      if (nowMs - this.bornMs > CONNECT_TIMEOUT_MS) this.session.destroy();
      return;
    }
    if (this.cursor.state === 'probing' && nowMs - this.probedMs > PROBE_TIMEOUT_MS) {
      this.session.destroy();
      return;
    }
    if (
      this.cursor.state !== 'up' ||
      !this.isBusy ||
      this.session.destroyed ||
      nowMs - this.heardMs < SILENCE_MS
    )
      return;
    this.cursor.send({ type: 'silent' });
    this.probedMs = nowMs;
    this.session.ping((err) => {
      if (err === null) this.hear();
    });
  }

  /** Ends the session; calls that wait are reported as sent. */
  public destroy(): void {
    this.session.destroy();
  }

  private collect(stream: ClientHttp2Stream, reply: (result: PeerReply) => void): void {
    let head: RelayHead | undefined;
    const body = new BodyBuffer(maxBodyBytes, this.budget);
    let fault: string | undefined;
    let ended = false;
    let encoding: string | undefined;
    let length: number | undefined;
    stream.on('response', (headers) => {
      this.hear();
      const kind = headers['amr-kind'];
      const detail = headers['amr-detail'];
      encoding = headers['amr-encoding']?.toString();
      length = readBodyLength(headers);
      if (typeof kind === 'string' && typeof detail === 'string')
        head = { kind, detail, revisions: parseRevisions(headers['amr-revisions']) };
    });
    stream.on('data', (chunk: Buffer) => {
      this.hear();
      const found = fault === undefined ? body.add(chunk) : undefined;
      if (found === undefined) return;
      fault = describeBodyFault(found);
      stream.close(constants.NGHTTP2_CANCEL);
    });
    stream.on('end', () => {
      ended = true;
    });
    // The close event follows.
    stream.on('error', () => undefined);
    stream.on('close', () => {
      this.calls -= 1;
      const bytes = body.take();
      if (fault !== undefined) {
        reply({ ok: false, sent: true, fault });
        return;
      }
      const isWhole = ended && bytes.length === (length ?? bytes.length);
      if (head !== undefined && isWhole && stream.rstCode === constants.NGHTTP2_NO_ERROR) {
        reply(readReply(head, bytes, encoding));
        return;
      }
      const unseen = stream.rstCode === constants.NGHTTP2_REFUSED_STREAM;
      reply({ ok: false, sent: this.connected && !unseen });
    });
  }

  private hear(): void {
    this.heardMs = this.now();
    this.cursor.send({ type: 'heard' });
  }
}

function readReply(head: RelayHead, bytes: Buffer, encoding: string | undefined): PeerReply {
  return unpackBody(bytes, encoding).caseOf<PeerReply>({
    Left: (fault) => ({ ok: false, sent: true, fault }),
    Right: (body) => ({ ok: true, head, body }),
  });
}
