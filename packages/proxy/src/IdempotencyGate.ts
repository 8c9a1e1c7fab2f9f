import type { Clock } from '#core/Clock.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import { compareBody } from '#once/CompareBody.js';
import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import { IdempotencyTable } from '#once/IdempotencyTable.js';
import type { ShardRecords } from '#once/ShardRecords.js';
import { ResponseCapture } from '#proxy/ResponseCapture.js';
import type { ResponseHead } from '#proxy/ResponseHead.js';
import { hashBody } from '#proxy/HashBody.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import type { RequestBody } from '#proxy/RequestBody.js';
import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';

const MAX_ANSWER_BYTES = 65_536;
const MAX_RECORDS = 200_000;
const MAX_BYTES = 16_000_000;
const RETRY_MS = 50;

interface Repeat {
  readonly order: RoutedRequest;
  readonly shardId: string;
  readonly bodyHash: string;
}

/**
 * Keeps non-repeatable orders from running twice: admits each id once, answers repeats with the answer of the original,
 * and keeps the records of the shards that this daemon owns. Used by the owner task alone.
 */
export class IdempotencyGate {
  private readonly table: IdempotencyTable;
  private readonly captures = new Map<string, ResponseCapture>();
  private readonly hashing = new Map<string, Repeat>();
  private readonly repeats = new Map<string, readonly Repeat[]>();
  private readonly released = new Map<string, ShardRecords>();
  private readonly adopted = new Map<string, ShardRecords>();

  public constructor(
    private readonly serverId: string,
    horizonMs: number,
    private readonly clock: Clock,
    private readonly onBodyHash: (orderId: string, bodyHash: string) => void,
  ) {
    const maxAnswerLength = Math.ceil((MAX_ANSWER_BYTES * 4) / 3) + 4;
    this.table = new IdempotencyTable({
      horizonMs,
      maxRecords: MAX_RECORDS,
      maxBytes: MAX_BYTES,
      maxAnswerLength,
    });
  }

  /** Number of records held. */
  public get size(): number {
    return this.table.size;
  }

  /** Admission epoch of a shard; empty if it is not open. */
  public currentEpoch(shardId: string): string {
    return this.table.hasShard(shardId) ? this.table.currentEpoch(shardId) : '';
  }

  /** Returns whether the order may run. Otherwise it was refused, or is answered like its original. */
  public admit(order: RoutedRequest, shardId: string): boolean {
    const { team, idempotencyKey, epoch } = order.head;
    const nowMs = this.clock.monotonicMs();
    const decision = this.table.admit(shardId, team, idempotencyKey, epoch === '' ? undefined : epoch, nowMs);
    if (decision.kind === 'run') return true;
    if (decision.kind === 'refuse') {
      this.reject(order, { ...decision.error, epoch: this.currentEpoch(shardId) });
      return false;
    }
    this.hashing.set(order.orderId, { order, shardId, bodyHash: '' });
    const body = hashBody(order.body, (bodyHash) => this.onBodyHash(order.orderId, bodyHash));
    if (!Buffer.isBuffer(body)) body.resume();
    return false;
  }

  /** Prepares an order that starts; returns the body to send, whose hash is recorded as it passes. */
  public start(order: RoutedRequest): RequestBody {
    this.captures.set(order.orderId, new ResponseCapture(MAX_ANSWER_BYTES));
    return hashBody(order.body, (bodyHash) => this.onBodyHash(order.orderId, bodyHash));
  }

  /** Notes the body hash of an order of `shardId`, or of a repeat that waits for it. */
  public applyBodyHash(
    order: RoutedRequest | undefined,
    orderId: string,
    shardId: string,
    bodyHash: string,
  ): void {
    const repeat = this.hashing.get(orderId);
    if (repeat !== undefined) {
      this.hashing.delete(orderId);
      this.answer({ ...repeat, bodyHash });
    } else if (order !== undefined) {
      this.table.setBodyHash(shardId, order.head.team, order.head.idempotencyKey, bodyHash);
    }
  }

  /** Notes the head of an answer. */
  public noteHead(orderId: string, head: ResponseHead): void {
    this.captures.get(orderId)?.setHead(head);
  }

  /** Notes a part of an answer. */
  public noteData(orderId: string, chunk: Buffer): void {
    this.captures.get(orderId)?.add(chunk);
  }

  /** Records the end of an admitted order and answers its repeats. */
  public end(order: RoutedRequest, shardId: string, event: RoutedRequestEvent): void {
    const { team, idempotencyKey } = order.head;
    const capture = this.captures.get(order.orderId);
    this.captures.delete(order.orderId);
    if (event.type === 'end' && capture !== undefined) {
      this.table.complete(shardId, team, idempotencyKey, capture.finish());
    } else this.table.fail(shardId, team, idempotencyKey, event.type === 'refused' ? 'not run' : 'unknown');
    const key = formatRepeatKey(shardId, order);
    const waiting = this.repeats.get(key) ?? [];
    this.repeats.delete(key);
    for (const repeat of waiting) this.answer(repeat);
  }

  /** Keeps the records of a shard that another daemon hands over, until the move is accepted. */
  public adopt(records: ShardRecords): void {
    this.adopted.set(records.shardId, records);
  }

  /**
   * Opens a shard that this daemon may act on. Records are kept while the token stays the same, as nobody else can have
   * owned the shard meanwhile; ids of a shard that was reassigned are unknown unless they were handed over.
   */
  public openShard(shardId: string, token: number): void {
    const adopted = this.adopted.get(shardId);
    const released = this.released.get(shardId);
    this.adopted.delete(shardId);
    this.released.delete(shardId);
    if (released?.token === token) this.table.restoreShard(released);
    else if (adopted !== undefined && adopted.token < token) this.table.adoptShard(adopted, token);
    else this.table.openShard(shardId, token);
  }

  /** Ends a shard for a planned move; its records are kept here too, until the move is accepted. */
  public releaseShard(shardId: string, token: number): ShardRecords {
    const known = this.released.get(shardId);
    if (known !== undefined) return known;
    if (!this.table.hasShard(shardId)) this.table.openShard(shardId, token);
    const records = this.table.closeShard(shardId);
    this.released.set(shardId, records);
    return records;
  }

  /** Turns the admission windows that are due. */
  public turnWindows(nowMs: number): void {
    this.table.turnWindows(nowMs);
  }

  private answer(repeat: Repeat): void {
    const { order, shardId, bodyHash } = repeat;
    const found = this.table.lookUp(shardId, order.head.team, order.head.idempotencyKey);
    if (found.kind === 'absent') {
      this.reject(order, {
        code: 'originalNotRun',
        step: 'once',
        peer: '',
        ran: 'not run',
        status: 503,
        retryAfterMs: RETRY_MS,
      });
      return;
    }
    if (found.kind === 'unknown') {
      this.reject(order, found.error);
      return;
    }
    const comparison = compareBody(found.record, bodyHash);
    if (comparison.kind === 'refuse') this.reject(order, comparison.error);
    else if (found.kind === 'answered') this.replay(order, found.record, shardId);
    else {
      const key = formatRepeatKey(shardId, order);
      this.repeats.set(key, [...(this.repeats.get(key) ?? []), repeat]);
    }
  }

  private replay(order: RoutedRequest, record: IdempotencyRecord, shardId: string): void {
    const body = Buffer.from(record.answer, 'base64');
    const head = {
      status: record.status,
      headers: { 'content-type': record.contentType, 'content-length': String(body.length) },
      serverId: this.serverId,
      owner: '',
      epoch: this.currentEpoch(shardId),
    };
    order.emit({ type: 'head', head, flow: { pause: () => undefined, resume: () => undefined } });
    order.emit({ type: 'data', chunk: body });
    order.emit({ type: 'end' });
  }

  private reject(order: RoutedRequest, error: RouterErrorFields): void {
    const fields = { ...error, peer: this.serverId };
    order.emit({ type: fields.ran === 'not run' ? 'refused' : 'broken', fields });
  }
}

function formatRepeatKey(shardId: string, { head }: RoutedRequest): string {
  return [shardId, head.team, head.idempotencyKey].join('\n');
}
