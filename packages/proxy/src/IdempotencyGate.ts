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

const MAX_RESPONSE_BYTES = 65_536;
const MAX_RECORDS = 200_000;
const MAX_TABLE_BYTES = 16_000_000;
const RETRY_AFTER_MS = 50;

/** A request whose idempotency key was already used. */
interface Repeat {
  readonly request: RoutedRequest;
  readonly shardId: string;
  readonly bodyHash: string;
}

/**
 * Keeps non-repeatable requests from running twice: admits each idempotency key once, replays the response of the
 * original to repeats, and keeps the records of the shards that this daemon owns. Used only by the owner task.
 */
export class IdempotencyGate {
  private readonly table: IdempotencyTable;
  /** Responses of running requests, by order id. */
  private readonly captures = new Map<string, ResponseCapture>();
  /** Repeats whose body hash is not known yet, by order id. */
  private readonly repeatsBeingRead = new Map<string, Repeat>();
  /** Repeats that wait for the end of their original, by shard, team and idempotency key. */
  private readonly waitingRepeats = new Map<string, readonly Repeat[]>();
  /** Records of shards that this daemon released for a move, by shard id. */
  private readonly released = new Map<string, ShardRecords>();
  /** Records of shards that other daemons handed over, by shard id. */
  private readonly adopted = new Map<string, ShardRecords>();

  public constructor(
    private readonly serverId: string,
    horizonMs: number,
    private readonly clock: Clock,
    private readonly onBodyHash: (orderId: string, bodyHash: string) => void,
  ) {
    const maxResponseLength = Math.ceil((MAX_RESPONSE_BYTES * 4) / 3) + 4;
    this.table = new IdempotencyTable({
      horizonMs,
      maxRecords: MAX_RECORDS,
      maxBytes: MAX_TABLE_BYTES,
      maxResponseLength,
    });
  }

  /** Number of idempotency records. */
  public get size(): number {
    return this.table.size;
  }

  /** Returns the admission epoch of a shard, or an empty string if the shard is not open. */
  public currentEpoch(shardId: string): string {
    return this.table.hasShard(shardId) ? this.table.currentEpoch(shardId) : '';
  }

  /**
   * Returns whether the request may run. If not, it was refused, or it is a repeat that gets the original's response.
   */
  public admit(request: RoutedRequest, shardId: string): boolean {
    const { team, idempotencyKey, epoch } = request.head;
    const nowMs = this.clock.monotonicMs();
    const decision = this.table.admit(shardId, team, idempotencyKey, epoch === '' ? undefined : epoch, nowMs);
    if (decision.kind === 'run') return true;
    if (decision.kind === 'refuse') {
      this.reject(request, { ...decision.error, epoch: this.currentEpoch(shardId) });
      return false;
    }
    this.repeatsBeingRead.set(request.orderId, { request, shardId, bodyHash: '' });
    const body = hashBody(request.body, (bodyHash) => this.onBodyHash(request.orderId, bodyHash));
    if (!Buffer.isBuffer(body)) body.resume();
    return false;
  }

  /** Starts to capture the response of a request; returns the body to send, whose hash is computed while it is read. */
  public start(request: RoutedRequest): RequestBody {
    this.captures.set(request.orderId, new ResponseCapture(MAX_RESPONSE_BYTES));
    return hashBody(request.body, (bodyHash) => this.onBodyHash(request.orderId, bodyHash));
  }

  /** Records the body hash of a running request of `shardId`, or answers the repeat that was waiting for its hash. */
  public applyBodyHash(
    request: RoutedRequest | undefined,
    orderId: string,
    shardId: string,
    bodyHash: string,
  ): void {
    const repeat = this.repeatsBeingRead.get(orderId);
    if (repeat !== undefined) {
      this.repeatsBeingRead.delete(orderId);
      this.answerRepeat({ ...repeat, bodyHash });
    } else if (request !== undefined) {
      this.table.setBodyHash(shardId, request.head.team, request.head.idempotencyKey, bodyHash);
    }
  }

  /** Captures the head of a response. */
  public noteHead(orderId: string, head: ResponseHead): void {
    this.captures.get(orderId)?.setHead(head);
  }

  /** Captures a chunk of a response body. */
  public noteData(orderId: string, chunk: Buffer): void {
    this.captures.get(orderId)?.add(chunk);
  }

  /** Records the end of an admitted request and answers its waiting repeats. */
  public end(request: RoutedRequest, shardId: string, event: RoutedRequestEvent): void {
    const { team, idempotencyKey } = request.head;
    const capture = this.captures.get(request.orderId);
    this.captures.delete(request.orderId);
    if (event.type === 'end' && capture !== undefined) {
      this.table.complete(shardId, team, idempotencyKey, capture.finish());
    } else this.table.fail(shardId, team, idempotencyKey, event.type === 'refused' ? 'not run' : 'unknown');
    const key = formatRepeatKey(shardId, request);
    const waiting = this.waitingRepeats.get(key) ?? [];
    this.waitingRepeats.delete(key);
    for (const repeat of waiting) this.answerRepeat(repeat);
  }

  /** Keeps the records of a shard that another daemon hands over, for `openShard` after the move is accepted. */
  public adopt(records: ShardRecords): void {
    this.adopted.set(records.shardId, records);
  }

  /**
   * Opens a shard that this daemon may act on. With an unchanged token the records are kept, since no other daemon can
   * have owned the shard in the meantime. With a new token the earlier ids are unknown unless they were handed over.
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

  /**
   * Closes a shard for a planned move and returns its records; a copy is kept here in case the move is not accepted.
   */
  public releaseShard(shardId: string, token: number): ShardRecords {
    const known = this.released.get(shardId);
    if (known !== undefined) return known;
    if (!this.table.hasShard(shardId)) this.table.openShard(shardId, token);
    const records = this.table.closeShard(shardId);
    this.released.set(shardId, records);
    return records;
  }

  /** Starts new admission windows where they are due. */
  public rotateWindows(nowMs: number): void {
    this.table.rotateWindows(nowMs);
  }

  private answerRepeat(repeat: Repeat): void {
    const { request, shardId, bodyHash } = repeat;
    const found = this.table.lookUp(shardId, request.head.team, request.head.idempotencyKey);
    if (found.kind === 'absent') {
      this.reject(request, {
        code: 'originalNotRun',
        step: 'once',
        peer: '',
        ran: 'not run',
        status: 503,
        retryAfterMs: RETRY_AFTER_MS,
      });
      return;
    }
    if (found.kind === 'unknown') {
      this.reject(request, found.error);
      return;
    }
    const comparison = compareBody(found.record, bodyHash);
    if (comparison.kind === 'refuse') this.reject(request, comparison.error);
    else if (found.kind === 'answered') this.replay(request, found.record, shardId);
    else {
      const key = formatRepeatKey(shardId, request);
      this.waitingRepeats.set(key, [...(this.waitingRepeats.get(key) ?? []), repeat]);
    }
  }

  private replay(request: RoutedRequest, record: IdempotencyRecord, shardId: string): void {
    const body = Buffer.from(record.answer, 'base64');
    const head = {
      status: record.status,
      headers: { 'content-type': record.contentType, 'content-length': String(body.length) },
      serverId: this.serverId,
      owner: '',
      epoch: this.currentEpoch(shardId),
    };
    request.emit({ type: 'head', head, flow: { pause: () => undefined, resume: () => undefined } });
    request.emit({ type: 'data', chunk: body });
    request.emit({ type: 'end' });
  }

  private reject(request: RoutedRequest, error: RouterErrorFields): void {
    const fields = { ...error, peer: this.serverId };
    request.emit({ type: fields.ran === 'not run' ? 'refused' : 'broken', fields });
  }
}

function formatRepeatKey(shardId: string, { head }: RoutedRequest): string {
  return [shardId, head.team, head.idempotencyKey].join('\n');
}
