import type { Cancel } from '#core/Cancel.js';
import { BodyBudget } from '#core/BodyBudget.js';
import { scheduleAfterReads } from '#core/ScheduleAfterReads.js';
import { Task } from '#core/Task.js';
import { decodeBackendResult } from '#mesh/DecodeBackendResult.js';
import { encodeBackendRequest } from '#mesh/EncodeBackendRequest.js';
import { maxBodiesBytes } from '#mesh/MaxBodiesBytes.js';
import type { BackendRequest } from '#mesh/BackendRequest.js';
import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { BackendResult } from '#mesh/BackendResult.js';
import type { PeerReply } from '#mesh/PeerReply.js';
import { PeerSession } from '#mesh/PeerSession.js';
import type { RelayMessage } from '#mesh/RelayMessage.js';
import type { RelayOptions } from '#mesh/RelayOptions.js';
import { readClocks } from '#mesh/ReadClocks.js';
import { relayPaths } from '#mesh/RelayPaths.js';

const CHECK_INTERVAL_MS = 50;

/** Bounds of the exponential backoff between connection attempts to an unreachable daemon, in milliseconds. */
const MIN_BACKOFF_MS = 250;
const MAX_BACKOFF_MS = 1_000;

const PEER_LOST: BackendResult = { type: 'lost', code: 'peerLost', load: undefined };
const BAD_RESPONSE: BackendResult = { type: 'lost', code: 'badAnswer', load: undefined };

interface Backoff {
  readonly untilMs: number;
  readonly lengthMs: number;
}

/** Sends requests and calls to other daemons. Owns one session with each daemon in use. */
export class RelayTask extends Task<RelayMessage> {
  private readonly options: RelayOptions;
  /** Memory budget of the response bodies that are being read on all sessions. */
  private readonly budget = new BodyBudget(maxBodiesBytes);
  private readonly sessions = new Map<string, PeerSession>();
  private readonly backoffs = new Map<string, Backoff>();
  private nextCallId = 1;
  private cancelTick: Cancel | undefined;

  public constructor(options: RelayOptions) {
    super();
    this.options = options;
  }

  public override stop(): void {
    super.stop();
    this.cancelTick?.();
    for (const session of this.sessions.values()) session.destroy();
  }

  protected override receive(message: RelayMessage): void {
    switch (message.type) {
      case 'order':
        this.sendRequest(message.request, message.address, message.reply);
        break;
      case 'cancel':
        this.call(message.address, 'cancel', { id: message.id }, () => undefined);
        break;
      case 'call':
        this.call(
          message.address,
          message.method,
          message.params,
          message.reply,
          message.isLongPoll === true,
        );
        break;
      case 'closed':
        this.noteClosed(message.address, message.session, message.failed);
        break;
      case 'tick':
        this.cancelTick = undefined;
        for (const session of this.sessions.values()) session.check();
    }
    this.scheduleTick();
  }

  private sendRequest(backendRequest: BackendRequest, address: string, reply: BackendResultCallback): void {
    const session = this.findSession(address);
    if (session === undefined) {
      reply({ type: 'refused', code: 'unreachable', retryAfterMs: 0, load: undefined, arrived: false });
      return;
    }
    const head = {
      ...encodeBackendRequest(backendRequest, readClocks(this.options.clock)),
      revisions: this.options.revisions(),
    };
    session.send(relayPaths.requests, head, backendRequest.callerRequest.body, (result) => {
      if (result.ok) this.options.onHint(result.head.revisions);
      else this.logFault(address, backendRequest.callerRequest.id, result.fault);
      reply(readResult(result));
    });
  }

  private call(
    address: string,
    method: string,
    params: unknown,
    reply: (result: unknown) => void,
    isLongPoll = false,
  ): void {
    const session = this.findSession(address);
    if (session === undefined) {
      reply(undefined);
      return;
    }
    const body = Buffer.from(JSON.stringify({ jsonrpc: '2.0', id: this.nextCallId, method, params }));
    this.nextCallId += 1;
    const head = { kind: 'call', detail: '', revisions: this.options.revisions() };
    session.send(relayPaths.calls, head, body, (result) => reply(readCallResult(result)), isLongPoll);
  }

  private findSession(address: string): PeerSession | undefined {
    const known = this.sessions.get(address);
    if (known?.isOpen === true && !known.isSuspect) return known;
    const backoff = this.backoffs.get(address);
    if (backoff !== undefined && this.now() < backoff.untilMs) return undefined;
    const session: PeerSession = new PeerSession(
      address,
      () => this.now(),
      this.budget,
      (failed) => this.post({ type: 'closed', address, session, failed }),
    );
    this.sessions.set(address, session);
    return session;
  }

  private noteClosed(address: string, session: PeerSession, failed: boolean): void {
    if (this.sessions.get(address) === session) this.sessions.delete(address);
    if (!failed) {
      this.backoffs.delete(address);
      return;
    }
    const last = this.backoffs.get(address)?.lengthMs ?? 0;
    const lengthMs = Math.min(MAX_BACKOFF_MS, Math.max(MIN_BACKOFF_MS, last * 2));
    const untilMs = this.now() + lengthMs;
    this.backoffs.set(address, { untilMs, lengthMs });
    this.options.logger.log('peerUnreachable', { step: 'rpc', peer: address, pauseMs: lengthMs });
    this.options.onReachability(address, false, untilMs);
  }

  private logFault(address: string, id: string, fault: string | undefined): void {
    if (fault === undefined) return;
    this.options.logger.log('peerAnswerBroken', { step: 'rpc', peer: address, id, reason: fault });
  }

  private scheduleTick(): void {
    const busy = [...this.sessions.values()].some((session) => session.isBusy);
    if (!busy || this.cancelTick !== undefined) return;
    const { clock } = this.options;
    this.cancelTick = scheduleAfterReads(clock, CHECK_INTERVAL_MS, () => this.post({ type: 'tick' }));
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

function readResult(result: PeerReply): BackendResult {
  if (result.ok) return decodeBackendResult(result.head, result.body).orDefault(PEER_LOST);
  if (result.fault !== undefined) return BAD_RESPONSE;
  return result.sent
    ? PEER_LOST
    : { type: 'refused', code: 'unreachable', retryAfterMs: 0, load: undefined, arrived: false };
}

function readCallResult(result: PeerReply): unknown {
  if (!result.ok) return undefined;
  try {
    const response = JSON.parse(result.body.toString()) as { readonly result?: unknown };
    return response.result;
  } catch {
    return undefined;
  }
}
