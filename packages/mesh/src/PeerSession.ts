import { constants, sensitiveHeaders, type ClientHttp2Session, type ClientHttp2Stream } from 'node:http2';
import { ChartCursor } from '#chart/ChartCursor.js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { BodyBudget } from '#core/BodyBudget.js';
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

/** Time in which a session must be established, in milliseconds. */
const CONNECT_TIMEOUT_MS = 450;

/** A session with calls in progress is probed after this time without any data, in milliseconds. */
const SILENCE_TIMEOUT_MS = 250;

/** A session whose ping is not answered within this time is destroyed, in milliseconds. */
const PROBE_TIMEOUT_MS = 600;

/** Flow-control window, large enough for most response bodies, in bytes. */
const WINDOW_BYTES = 4 * 1024 * 1024;

/** Codes of streams that the peer rejected before it processed them: by itself, and by `node:http2` for lack of memory. */
const REJECTIONS: ReadonlySet<number> = new Set([
  constants.NGHTTP2_REFUSED_STREAM,
  constants.NGHTTP2_ENHANCE_YOUR_CALM,
]);

interface PeerCall {
  readonly path: string;
  readonly head: RelayHead;
  readonly body: Buffer;
  readonly reply: (result: PeerReply) => void;
  readonly isLongPoll: boolean;
}

/**
 * An HTTP/2 session with another daemon. Calls are sent once the peer's settings have arrived: a connection can be
 * accepted on behalf of a process that has ended. While calls wait and no data arrives, a ping checks that the peer is
 * alive.
 */
export class PeerSession {
  private readonly session: ClientHttp2Session;
  private readonly cursor = new ChartCursor<PeerLinkEvent>(peerLinkChart);
  private readonly now: () => number;
  private readonly budget: BodyBudget;
  private readonly createdMs: number;
  /** Calls that wait until the peer is heard. */
  private readonly held = new Set<PeerCall>();
  /** Calls that wait for a reply, without long polls. */
  private calls = 0;
  private receivedMs: number;
  /** Whether the peer ended the session with an error. */
  private hasFailed = false;
  private probedMs = 0;

  /** The memory of response bodies is accounted to `budget`. `onClose` is told whether the connection failed. */
  public constructor(
    address: string,
    now: () => number,
    budget: BodyBudget,
    onClose: (failed: boolean) => void,
  ) {
    this.now = now;
    this.budget = budget;
    this.createdMs = now();
    this.receivedMs = this.createdMs;
    this.session = openSession(address, {
      settings: { enablePush: false, initialWindowSize: WINDOW_BYTES },
    });
    this.session.on('connect', () => {
      if (!this.session.destroyed) this.session.setLocalWindowSize(WINDOW_BYTES);
      this.cursor.send({ type: 'connected' });
      this.receivedMs = this.now();
    });
    this.session.on('remoteSettings', () => this.noteReceived());
    // A close event follows each error and reports it to the task.
    this.session.on('error', () => undefined);
    this.session.on('goaway', (code) => {
      this.hasFailed = code !== constants.NGHTTP2_NO_ERROR;
      this.session.close();
      this.dropHeld();
    });
    this.session.on('close', () => {
      const failed = this.cursor.state === 'connecting';
      this.cursor.send({ type: 'closed' });
      this.dropHeld();
      onClose(failed);
    });
  }

  /** Whether new calls can be sent. */
  public get isOpen(): boolean {
    return !this.session.closed && !this.session.destroyed && this.cursor.state !== 'closed';
  }

  /** Whether calls other than long polls are waiting for a reply. */
  public get isBusy(): boolean {
    return this.calls > 0;
  }

  /** Whether the session is silent and a ping is in progress. */
  public get isSuspect(): boolean {
    return this.cursor.state === 'probing';
  }

  /**
   * Sends a call with a head and a body. `reply` receives its outcome exactly once. The session is not pinged for a long
   * poll, whose caller bounds its time: pings for calls that mostly wait would cost more than the calls.
   */
  public send(
    path: string,
    head: RelayHead,
    body: Buffer,
    reply: (result: PeerReply) => void,
    isLongPoll = false,
  ): void {
    if (!isLongPoll) {
      if (this.calls === 0) this.receivedMs = this.now();
      this.calls += 1;
    }
    const call = { path, head, body, reply, isLongPoll };
    if (this.cursor.state === 'up') this.transmit(call);
    else this.held.add(call);
  }

  /** Pings a silent session, and destroys one that does not connect or answer its ping in time. */
  public check(): void {
    const nowMs = this.now();
    if (this.cursor.state === 'connecting') {
      if (nowMs - this.createdMs > CONNECT_TIMEOUT_MS) this.session.destroy();
      return;
    }
    if (this.cursor.state === 'probing' && nowMs - this.probedMs > PROBE_TIMEOUT_MS) {
      this.session.destroy();
      return;
    }
    if (
      (this.cursor.state !== 'up' && this.cursor.state !== 'opening') ||
      !this.isBusy ||
      this.session.destroyed ||
      nowMs - this.receivedMs < SILENCE_TIMEOUT_MS
    )
      return;
    this.cursor.send({ type: 'silent' });
    this.probedMs = nowMs;
    this.session.ping((err) => {
      if (err === null) this.noteReceived();
    });
  }

  /** Destroys the session; calls that were sent end as possibly received by the peer. */
  public destroy(): void {
    this.session.destroy();
  }

  private transmit({ path, head, body, reply, isLongPoll }: PeerCall): void {
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
    this.collectReply(stream, reply, isLongPoll);
  }

  private sendHeld(): void {
    if (!this.isOpen) return;
    const calls = [...this.held];
    this.held.clear();
    for (const call of calls) this.transmit(call);
  }

  /** Reports the held calls as not sent. */
  private dropHeld(): void {
    for (const { reply, isLongPoll } of this.held) {
      if (!isLongPoll) this.calls -= 1;
      reply({ ok: false, sent: false });
    }
    this.held.clear();
  }

  private collectReply(
    stream: ClientHttp2Stream,
    reply: (result: PeerReply) => void,
    isLongPoll: boolean,
  ): void {
    let head: RelayHead | undefined;
    const body = new BodyBuffer(maxBodyBytes, this.budget);
    let fault: string | undefined;
    let ended = false;
    let encoding: string | undefined;
    let length: number | undefined;
    stream.on('response', (headers) => {
      this.noteReceived();
      const kind = headers['amr-kind'];
      const detail = headers['amr-detail'];
      encoding = headers['amr-encoding']?.toString();
      length = readBodyLength(headers);
      if (typeof kind === 'string' && typeof detail === 'string')
        head = { kind, detail, revisions: parseRevisions(headers['amr-revisions']) };
    });
    stream.on('data', (chunk: Buffer) => {
      this.noteReceived();
      const bodyFault = fault === undefined ? body.add(chunk) : undefined;
      if (bodyFault === undefined) return;
      fault = describeBodyFault(bodyFault);
      stream.close(constants.NGHTTP2_CANCEL);
    });
    stream.on('end', () => {
      ended = true;
    });
    // A close event follows each error.
    stream.on('error', () => undefined);
    stream.on('close', () => {
      if (!isLongPoll) this.calls -= 1;
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
      // The end of the session also closes streams that were processed, with the code of its GOAWAY.
      const isRejected = !this.hasFailed && head === undefined && REJECTIONS.has(stream.rstCode);
      reply({ ok: false, sent: !isRejected });
    });
  }

  private noteReceived(): void {
    this.receivedMs = this.now();
    if (this.cursor.send({ type: 'heard' })) this.sendHeld();
  }
}

function readReply(head: RelayHead, bytes: Buffer, encoding: string | undefined): PeerReply {
  return unpackBody(bytes, encoding).caseOf<PeerReply>({
    Left: (fault) => ({ ok: false, sent: true, fault }),
    Right: (body) => ({ ok: true, head, body }),
  });
}
