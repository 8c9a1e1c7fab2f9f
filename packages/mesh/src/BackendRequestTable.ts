import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { BackendResult } from '#mesh/BackendResult.js';

/**
 * How long a request is known after its end, and for which late copies of it are expected. A daemon without processor
 * time reads a copy many seconds after it was sent.
 */
const RETENTION_MS = 30_000;

/** How long a response is kept for a sender that lost its session, in milliseconds. */
const BODY_RETENTION_MS = 8_000;

/** Number of results that are kept. */
const MAX_RESULTS = 20_000;

/** Total size of the response bodies that are kept. */
const MAX_BODIES_BYTES = 32 * 1024 * 1024;

/** Result that replaces a response whose body is no longer kept. */
const DROPPED: BackendResult = { type: 'lost', code: 'connectionLost', load: undefined };

interface Copy {
  readonly copy: number;
  readonly sentMs: number;
}

interface RequestState {
  readonly replies: readonly BackendResultCallback[];
  readonly result: BackendResult | undefined;
  readonly changedMs: number;
}

/**
 * Requests that this daemon process received, by request id, so that a request that is sent again does not run
 * twice.
 */
export class BackendRequestTable {
  private readonly states = new Map<string, RequestState>();
  /** Last resent copy of each request, by request id, oldest first. */
  private readonly resends = new Map<string, Copy>();
  /** Sizes of the bodies that are kept, by request id, oldest first. */
  private readonly bodySizes = new Map<string, number>();
  private bodyBytes = 0;

  /** Whether a request was received and its result is still kept or awaited. */
  public has(id: string): boolean {
    return this.states.has(id);
  }

  /** Whether a request ended without having run, so that it may be sent here again. */
  public wasRefused(id: string): boolean {
    return this.states.get(id)?.result?.type === 'refused';
  }

  /** Notes that a request was sent again, so that earlier copies of it may still arrive. */
  public noteResent(id: string, copy: number, nowMs: number): void {
    if (this.isOutdated(id, copy)) return;
    this.resends.delete(id);
    this.resends.set(id, { copy, sentMs: nowMs });
  }

  /** Whether a later copy of the request was already received. The sender no longer waits for this one. */
  public isOutdated(id: string, copy: number): boolean {
    return copy < (this.resends.get(id)?.copy ?? 0);
  }

  /** Adds a request that starts now. */
  public open(id: string, reply: BackendResultCallback, nowMs: number): void {
    this.remove(id);
    this.states.set(id, { replies: [reply], result: undefined, changedMs: nowMs });
  }

  /** Adds a sender that waits for a request which was received before; it gets a known result at once. */
  public join(id: string, reply: BackendResultCallback): void {
    const state = this.states.get(id);
    if (state === undefined) return;
    if (state.result !== undefined) reply(state.result);
    else this.states.set(id, { ...state, replies: [...state.replies, reply] });
  }

  /** Stores the result of a request and passes it to the senders that wait for it. */
  public close(id: string, result: BackendResult, nowMs: number): void {
    const state = this.states.get(id);
    if (state === undefined || state.result !== undefined) return;
    this.states.delete(id);
    this.states.set(id, { replies: [], result, changedMs: nowMs });
    if (result.type === 'answered') this.storeBody(id, result.response.body.length);
    for (const reply of state.replies) reply(result);
  }

  /** Drops responses and results that are too old, and those that exceed `MAX_RESULTS`. */
  public expire(nowMs: number): void {
    this.expireBodies(nowMs);
    for (const [id, { sentMs }] of this.resends) {
      if (nowMs - sentMs < RETENTION_MS) break;
      this.resends.delete(id);
    }
    for (const [id, { result, changedMs }] of this.states) {
      const excess = this.states.size > MAX_RESULTS;
      if (!excess && nowMs - changedMs < RETENTION_MS) return;
      if (result !== undefined) this.remove(id);
    }
  }

  private expireBodies(nowMs: number): void {
    for (const id of this.bodySizes.keys()) {
      const changedMs = this.states.get(id)?.changedMs ?? -Infinity;
      if (nowMs - changedMs < BODY_RETENTION_MS) return;
      this.dropBody(id);
    }
  }

  private storeBody(id: string, bytes: number): void {
    this.bodySizes.set(id, bytes);
    this.bodyBytes += bytes;
    for (const oldest of this.bodySizes.keys()) {
      if (this.bodyBytes <= MAX_BODIES_BYTES) return;
      this.dropBody(oldest);
    }
  }

  /** Drops a response. Its request stays known, so that it does not run again. */
  private dropBody(id: string): void {
    this.bodyBytes -= this.bodySizes.get(id) ?? 0;
    this.bodySizes.delete(id);
    const state = this.states.get(id);
    if (state !== undefined) this.states.set(id, { ...state, result: DROPPED });
  }

  private remove(id: string): void {
    this.dropBody(id);
    this.states.delete(id);
  }
}
