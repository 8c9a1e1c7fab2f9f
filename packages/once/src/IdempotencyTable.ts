import { assertInvariant } from '#core/AssertInvariant.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { RecordedResponse } from '#once/RecordedResponse.js';
import type { IdempotencyDecision } from '#once/IdempotencyDecision.js';
import type { IdempotencyLimits } from '#once/IdempotencyLimits.js';
import type { IdempotencyLookup } from '#once/IdempotencyLookup.js';
import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';
import { parseEpoch } from '#once/ParseEpoch.js';
import { ShardRecordTable } from '#once/ShardRecordTable.js';
import type { ShardRecords } from '#once/ShardRecords.js';

/** Longest `idempotency-key` that is accepted, in characters. */
const MAX_ID_LENGTH = 255;

/** Retry delay that is advised when the table is full. */
const FULL_RETRY_AFTER_MS = 1_000;

/**
 * Idempotency records of the shards that a daemon owns: decides which non-repeatable requests may run, and keeps their
 * responses for repeats; see docs/design.md, section 8. Times are monotonic, in milliseconds.
 */
export class IdempotencyTable {
  private readonly limits: IdempotencyLimits;
  private readonly shards = new Map<string, ShardRecordTable>();
  private recordCount = 0;
  private byteCount = 0;

  public constructor(limits: IdempotencyLimits) {
    this.limits = limits;
  }

  /**
   * Opens a shard whose earlier records are lost: the outcomes of ids from older tokens are unknown. Has no effect if
   * the shard is open with this token. Records of requests that still run under an older token of this daemon are kept.
   */
  public openShard(shardId: string, token: number): void {
    const old = this.shards.get(shardId);
    if (old?.token === token) return;
    const shard = new ShardRecordTable(shardId, token, token, 0);
    const running = old?.records().filter(({ state }) => state === 'running') ?? [];
    for (const record of running)
      shard.set(formatRecordKey(record.team, record.id), { ...record, window: 0 });
    this.replaceShard(shardId, shard);
  }

  /** Opens a shard that was moved here with its records; `newToken` is the token of the accepted move. */
  public adoptShard(moved: ShardRecords, newToken: number): void {
    assertInvariant(newToken > moved.token, `${moved.shardId}: token ${newToken} does not follow the move`);
    this.restoreShard({ ...moved, token: newToken });
  }

  /**
   * Reopens a shard with records that were handed over, but whose move was not accepted, so that the token is the same.
   */
  public restoreShard(records: ShardRecords): void {
    const { shardId, token, knownSince, window } = records;
    const shard = new ShardRecordTable(shardId, token, knownSince, window);
    for (const record of records.records) shard.set(formatRecordKey(record.team, record.id), record);
    this.replaceShard(shardId, shard);
  }

  /**
   * Closes a shard and returns its records for the hand-over, with the state `unknown` for requests that still run.
   * Throws if the shard is not open.
   */
  public closeShard(shardId: string): ShardRecords {
    const shard = this.findShard(shardId);
    this.replaceShard(shardId, undefined);
    const { token, knownSince, window } = shard;
    const records = shard.records().map((record) => endAsUnknown(record));
    return { shardId, token, knownSince, window, records };
  }

  /** Returns whether the shard is open. */
  public hasShard(shardId: string): boolean {
    return this.shards.has(shardId);
  }

  /** Returns the value of `amr-epoch` for new requests of the shard. Throws if the shard is not open. */
  public currentEpoch(shardId: string): string {
    const { token, window } = this.findShard(shardId);
    return `${token}-${window}`;
  }

  /** Number of records over all shards. */
  public get size(): number {
    return this.recordCount;
  }

  /** Estimated bytes of all records. */
  public get bytes(): number {
    return this.byteCount;
  }

  /**
   * Decides whether the request with an id may run. A known id is a repeat, whatever its epoch, since its outcome is
   * recorded. Throws if the shard is not open.
   */
  public admit(
    shardId: string,
    team: string,
    id: string,
    epoch: string | undefined,
    nowMs: number,
  ): IdempotencyDecision {
    const shard = this.findShard(shardId);
    this.change(shard, () => shard.rotateIfDue(nowMs, this.limits.horizonMs));
    if (id === '' || id.length > MAX_ID_LENGTH) return refuse(createNotRunError('idMalformed', 400));
    const record = shard.get(formatRecordKey(team, id));
    if (record !== undefined) return { kind: 'repeat', record };
    const error = this.checkEpoch(shard, epoch) ?? this.makeRoom(nowMs);
    if (error !== undefined) return refuse(error);
    this.change(shard, () => shard.set(formatRecordKey(team, id), startRecord(team, id, shard.window)));
    return { kind: 'run' };
  }

  /** Records the body hash of a running request, known once its body was read to the end. */
  public setBodyHash(shardId: string, team: string, id: string, bodyHash: string): void {
    this.update(shardId, team, id, (record) => ({ ...record, bodyHash }));
  }

  /** Records the response of a running request and returns the record; undefined if the request is not running. */
  public complete(
    shardId: string,
    team: string,
    id: string,
    response: RecordedResponse,
  ): IdempotencyRecord | undefined {
    const kept = response.complete && response.body.length <= this.limits.maxResponseLength;
    return this.update(shardId, team, id, (record) => ({
      ...record,
      state: 'answered',
      bodyHash: response.bodyHash === '' ? record.bodyHash : response.bodyHash,
      status: response.status,
      contentType: response.contentType,
      answer: kept ? response.body : '',
      complete: kept,
    }));
  }

  /** Records that a running request ended without a response. If it did not run, its record is removed. */
  public fail(shardId: string, team: string, id: string, ran: 'not run' | 'unknown'): void {
    if (ran === 'not run') this.forget(shardId, formatRecordKey(team, id));
    else this.update(shardId, team, id, endAsUnknown);
  }

  /** Returns what is known about an id. */
  public lookUp(shardId: string, team: string, id: string): IdempotencyLookup {
    const record = this.shards.get(shardId)?.get(formatRecordKey(team, id));
    if (record === undefined) return { kind: 'absent' };
    if (record.state === 'running') return { kind: 'running', record };
    if (record.state === 'unknown') return { kind: 'unknown', error: UNKNOWN_OUTCOME };
    return record.complete ? { kind: 'answered', record } : { kind: 'unknown', error: RESPONSE_NOT_KEPT };
  }

  /**
   * Starts new admission windows where they are due; to be called every few seconds, so that idle shards free memory.
   */
  public rotateWindows(nowMs: number): void {
    for (const shard of this.shards.values()) {
      this.change(shard, () => shard.rotateIfDue(nowMs, this.limits.horizonMs));
    }
  }

  private checkEpoch(shard: ShardRecordTable, text: string | undefined): RouterErrorFields | undefined {
    const current = `${shard.token}-${shard.window}`;
    if (text === undefined) return { ...createNotRunError('epochRequired', 428), epoch: current };
    const epoch = parseEpoch(text);
    if (epoch === undefined) return { ...createNotRunError('epochMalformed', 400), epoch: current };
    if (epoch.token < shard.knownSince) return UNKNOWN_OUTCOME;
    // A newer token shows that this daemon may no longer own the shard, so the refusal offers none of its epochs.
    if (epoch.token > shard.token) return createNotRunError('epochOfFuture', 409);
    if (epoch.window > shard.window) return createNotRunError('epochOfFuture', 409);
    return epoch.window < shard.window - 1 ? UNKNOWN_OUTCOME : undefined;
  }

  /** Rotates the window of the largest shard until the limits hold. Fails if only running requests are left. */
  private makeRoom(nowMs: number): RouterErrorFields | undefined {
    while (this.isFull()) {
      const largest = this.findLargest();
      if (largest === undefined)
        return { ...createNotRunError('onceTableFull', 503), retryAfterMs: FULL_RETRY_AFTER_MS };
      this.change(largest, () => largest.rotate(nowMs));
    }
    return undefined;
  }

  private isFull(): boolean {
    return this.size >= this.limits.maxRecords || this.bytes >= this.limits.maxBytes;
  }

  private findLargest(): ShardRecordTable | undefined {
    const shards = [...this.shards.values()].filter((shard) => shard.canForget);
    return shards.sort((left, right) => right.bytes - left.bytes)[0];
  }

  private update(
    shardId: string,
    team: string,
    id: string,
    change: (record: IdempotencyRecord) => IdempotencyRecord,
  ): IdempotencyRecord | undefined {
    const shard = this.shards.get(shardId);
    const key = formatRecordKey(team, id);
    const record = shard?.get(key);
    if (shard === undefined || record?.state !== 'running') return undefined;
    const changed = change(record);
    this.change(shard, () => shard.set(key, changed));
    return changed;
  }

  private findShard(shardId: string): ShardRecordTable {
    const shard = this.shards.get(shardId);
    assertInvariant(shard !== undefined, `shard ${shardId} is not open`);
    return shard;
  }

  /** Removes a record, but only that of a running request: one that got a response did run. */
  private forget(shardId: string, key: string): void {
    const shard = this.shards.get(shardId);
    if (shard?.get(key)?.state === 'running') this.change(shard, () => shard.delete(key));
  }

  private replaceShard(shardId: string, shard: ShardRecordTable | undefined): void {
    this.count(this.shards.get(shardId), -1);
    this.count(shard, 1);
    if (shard === undefined) this.shards.delete(shardId);
    else this.shards.set(shardId, shard);
  }

  /** Applies a change to one shard and updates the totals, which are read at every admission. */
  private change(shard: ShardRecordTable, apply: () => void): void {
    this.count(shard, -1);
    apply();
    this.count(shard, 1);
  }

  private count(shard: ShardRecordTable | undefined, sign: 1 | -1): void {
    this.recordCount += sign * (shard?.size ?? 0);
    this.byteCount += sign * (shard?.bytes ?? 0);
  }
}

const UNKNOWN_OUTCOME: RouterErrorFields = {
  code: 'unknownOutcome',
  step: 'once',
  peer: '',
  ran: 'unknown',
  status: 409,
};

const RESPONSE_NOT_KEPT: RouterErrorFields = {
  code: 'answerNotKept',
  step: 'once',
  peer: '',
  ran: 'ran',
  status: 409,
};

function createNotRunError(code: string, status: number): RouterErrorFields {
  return { code, step: 'once', peer: '', ran: 'not run', status };
}

function refuse(error: RouterErrorFields): IdempotencyDecision {
  return { kind: 'refuse', error };
}

/** Returns the key of a record. It is unambiguous, since header values contain no line feed. */
function formatRecordKey(team: string, id: string): string {
  return `${team}\n${id}`;
}

function startRecord(team: string, id: string, window: number): IdempotencyRecord {
  return {
    team,
    id,
    window,
    bodyHash: '',
    state: 'running',
    status: 0,
    contentType: '',
    answer: '',
    complete: false,
  };
}

function endAsUnknown(record: IdempotencyRecord): IdempotencyRecord {
  return record.state === 'running' ? { ...record, state: 'unknown' } : record;
}
