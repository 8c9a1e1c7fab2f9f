import type { IdempotencyRecord } from '#once/IdempotencyRecord.js';

/** Estimated bytes of a record in addition to its strings. */
const RECORD_OVERHEAD_BYTES = 250;

/**
 * Idempotency records of one shard: those of the current and the previous admission window, and those of requests that
 * still run after both. A record is in exactly one of the three maps. All operations except `rotate` and `records` take
 * constant time.
 */
export class ShardRecordTable {
  public readonly shardId: string;
  public readonly token: number;
  public readonly knownSince: number;
  private currentWindow: number;
  private windowStartMs: number | undefined;
  private current = new Map<string, IdempotencyRecord>();
  private previous = new Map<string, IdempotencyRecord>();
  /** Records of requests that still run after both windows. */
  private readonly carriedOver = new Map<string, IdempotencyRecord>();
  private byteCount = 0;
  private runningCount = 0;

  public constructor(shardId: string, token: number, knownSince: number, window: number) {
    this.shardId = shardId;
    this.token = token;
    this.knownSince = knownSince;
    this.currentWindow = window;
  }

  public get window(): number {
    return this.currentWindow;
  }

  /** Estimated bytes of all records. */
  public get bytes(): number {
    return this.byteCount;
  }

  /** Number of records. */
  public get size(): number {
    return this.current.size + this.previous.size + this.carriedOver.size;
  }

  /** Whether two rotations of the window would remove at least one record. */
  public get canForget(): boolean {
    return this.size > this.runningCount;
  }

  public get(key: string): IdempotencyRecord | undefined {
    return this.current.get(key) ?? this.previous.get(key) ?? this.carriedOver.get(key);
  }

  /** Stores a record in the previous window if it belongs or was stored there, and otherwise in the current one. */
  public set(key: string, record: IdempotencyRecord): void {
    const inPrevious = this.previous.has(key) || (!this.current.has(key) && this.isPrevious(record));
    this.delete(key);
    (inPrevious ? this.previous : this.current).set(key, record);
    this.byteCount += estimateBytes(record);
    if (record.state === 'running') this.runningCount += 1;
  }

  public delete(key: string): void {
    const record = this.get(key);
    if (record === undefined) return;
    this.byteCount -= estimateBytes(record);
    if (record.state === 'running') this.runningCount -= 1;
    this.current.delete(key);
    this.previous.delete(key);
    this.carriedOver.delete(key);
  }

  /** Rotates the window if `horizonMs` has passed since its start. The first call starts the first window. */
  public rotateIfDue(nowMs: number, horizonMs: number): void {
    this.windowStartMs ??= nowMs;
    if (nowMs - this.windowStartMs < horizonMs) return;
    this.rotate(nowMs);
  }

  /** Starts a new window and removes the records of the window before the previous one, except for running requests. */
  public rotate(nowMs: number): void {
    for (const [key, record] of this.previous) this.retire(key, record);
    this.previous = this.current;
    this.current = new Map();
    this.currentWindow += 1;
    this.windowStartMs = nowMs;
  }

  public records(): readonly IdempotencyRecord[] {
    return [...this.current.values(), ...this.previous.values(), ...this.carriedOver.values()];
  }

  private retire(key: string, record: IdempotencyRecord): void {
    if (record.state === 'running') this.carriedOver.set(key, record);
    else this.byteCount -= estimateBytes(record);
  }

  private isPrevious(record: IdempotencyRecord): boolean {
    return record.window === this.currentWindow - 1;
  }
}

function estimateBytes(record: IdempotencyRecord): number {
  return (
    RECORD_OVERHEAD_BYTES +
    record.team.length +
    2 * record.id.length +
    record.bodyHash.length +
    record.contentType.length +
    record.answer.length
  );
}
