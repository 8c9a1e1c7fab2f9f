import type { BackendResultCallback } from '#mesh/BackendResultCallback.js';
import type { BackendResult } from '#mesh/BackendResult.js';

/** Results are kept this long for a sender that lost its session, and late copies awaited, in milliseconds. */
const KEEP_MS = 8_000;

/** Results that are kept at most. */
const MAX_KEPT = 20_000;

/** Bytes of the bodies of all results that are kept. */
const MAX_KEPT_BYTES = 32 * 1024 * 1024;

/** Takes the place of an answer that is no longer kept. */
const FORGOTTEN: BackendResult = { type: 'lost', code: 'connectionLost', load: undefined };

interface Copy {
  readonly copy: number;
  readonly sentMs: number;
}

interface Account {
  readonly replies: readonly BackendResultCallback[];
  readonly result: BackendResult | undefined;
  readonly changedMs: number;
}

/** Orders that this run of the daemon received, by request id, so that none runs twice for being sent again. */
export class BackendRequestTable {
  private readonly accounts = new Map<string, Account>();
  /** The latest copies of orders that were sent again, by request id, the oldest first. */
  private readonly sentAgain = new Map<string, Copy>();
  /** Bytes of the bodies that are kept, by request id, the oldest first. */
  private readonly bodies = new Map<string, number>();
  private bodyBytes = 0;

  /** Whether an order was received and its result is still kept or awaited. */
  public has(id: string): boolean {
    return this.accounts.has(id);
  }

  /** Whether the order ended without having run, so that it may be offered anew. */
  public wasRefused(id: string): boolean {
    return this.accounts.get(id)?.result?.type === 'refused';
  }

  /** Notes that an order was sent again, so that earlier copies of it may still be under way. */
  public noteSentAgain(id: string, copy: number, nowMs: number): void {
    if (this.isLate(id, copy)) return;
    this.sentAgain.delete(id);
    this.sentAgain.set(id, { copy, sentMs: nowMs });
  }

  /** Whether a copy of an order comes after a later one. Its sender no longer waits for it. */
  public isLate(id: string, copy: number): boolean {
    return copy < (this.sentAgain.get(id)?.copy ?? 0);
  }

  /** Opens the account of an order that begins now. */
  public open(id: string, reply: BackendResultCallback, nowMs: number): void {
    this.remove(id);
    this.accounts.set(id, { replies: [reply], result: undefined, changedMs: nowMs });
  }

  /** Adds a receiver to an order that was received before; a result that is known is given at once. */
  public join(id: string, reply: BackendResultCallback): void {
    const account = this.accounts.get(id);
    if (account === undefined) return;
    if (account.result !== undefined) reply(account.result);
    else this.accounts.set(id, { ...account, replies: [...account.replies, reply] });
  }

  /** Gives the result of an order to those that wait for it. */
  public close(id: string, result: BackendResult, nowMs: number): void {
    const account = this.accounts.get(id);
    if (account === undefined || account.result !== undefined) return;
    this.accounts.delete(id);
    this.accounts.set(id, { replies: [], result, changedMs: nowMs });
    if (result.type === 'answered') this.keepBody(id, result.answer.body.length);
    for (const reply of account.replies) reply(result);
  }

  /** Forgets results that are old or too many. */
  public expire(nowMs: number): void {
    for (const [id, { sentMs }] of this.sentAgain) {
      if (nowMs - sentMs < KEEP_MS) break;
      this.sentAgain.delete(id);
    }
    for (const [id, { result, changedMs }] of this.accounts) {
      const excess = this.accounts.size > MAX_KEPT;
      if (!excess && nowMs - changedMs < KEEP_MS) return;
      if (result !== undefined) this.remove(id);
    }
  }

  private keepBody(id: string, bytes: number): void {
    this.bodies.set(id, bytes);
    this.bodyBytes += bytes;
    for (const oldest of this.bodies.keys()) {
      if (this.bodyBytes <= MAX_KEPT_BYTES) return;
      this.forgetBody(oldest);
    }
  }

  /** Drops an answer; its order stays known, so that it does not run again. */
  private forgetBody(id: string): void {
    this.bodyBytes -= this.bodies.get(id) ?? 0;
    this.bodies.delete(id);
    const account = this.accounts.get(id);
    if (account !== undefined) this.accounts.set(id, { ...account, result: FORGOTTEN });
  }

  private remove(id: string): void {
    this.forgetBody(id);
    this.accounts.delete(id);
  }
}
