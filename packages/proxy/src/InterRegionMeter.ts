import { Left, Right, type Either } from 'purify-ts';
import { TokenBucket } from '#admission/TokenBucket.js';
import { entryKey } from '#admission/EntryKey.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { Exchange } from '#proxy/Exchange.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';
import type { Target } from '#proxy/Target.js';

/** Bytes that the heads and framing of a request and its response add to their bodies. */
const OVERHEAD_BYTES = 800;
const RETRY_AFTER_MS = 200;

/**
 * Counts the bytes that the requests of each entry send between regions and enforces the entry's limit. Response bytes
 * are counted as they arrive; if they exhaust the tokens of the entry, its next request is refused before it is sent.
 */
export class InterRegionMeter {
  /** Token buckets in bytes, by entry key. */
  private readonly buckets = new Map<string, TokenBucket>();
  /** Bytes sent between regions, by team. */
  private readonly totals = new Map<string, number>();

  /** Refuses a request between regions if its entry allows none or has used up its bytes. */
  public admit(target: Target, exchange: Exchange, nowMs: number): Either<RouterErrorFields, Target> {
    if (!target.crossesRegions) return Right(target);
    const { entry } = exchange.checked;
    const bytes = OVERHEAD_BYTES + Math.max(0, exchange.head.contentLength);
    const isAllowed = this.findBucket(exchange, nowMs).take(
      nowMs,
      Math.min(bytes, entry.limits.interRegionBytesPerSecond),
    );
    if (isAllowed && entry.limits.interRegionBytesPerSecond > 0) {
      this.addTotal(entry.owner, bytes);
      return Right(target);
    }
    const { member } = target;
    return Left({
      code: 'interRegionLimit',
      step: 'region',
      peer: member.serverId,
      ran: 'not run',
      status: 429,
      retryAfterMs: RETRY_AFTER_MS,
      at: [`${member.host}:${member.callerPort}`],
    });
  }

  /** Counts a chunk of a response that came from another region. */
  public add({ exchange, attempt }: OpenExchange, bytes: number, nowMs: number): void {
    if (attempt.target?.crossesRegions !== true) return;
    this.findBucket(exchange, nowMs).takeUpTo(bytes, nowMs);
    this.addTotal(exchange.checked.entry.owner, bytes);
  }

  /** Returns the bytes sent between regions so far, by team. */
  public readTotals(): ReadonlyMap<string, number> {
    return this.totals;
  }

  private addTotal(team: string, bytes: number): void {
    this.totals.set(team, (this.totals.get(team) ?? 0) + bytes);
  }

  private findBucket(exchange: Exchange, nowMs: number): TokenBucket {
    const { owner, service, class: requestClass, limits } = exchange.checked.entry;
    const key = entryKey(owner, service, requestClass);
    const rate = limits.interRegionBytesPerSecond;
    const known = this.buckets.get(key);
    if (known !== undefined) {
      known.resize(rate, rate, nowMs);
      return known;
    }
    const bucket = new TokenBucket(rate, rate, rate, nowMs);
    this.buckets.set(key, bucket);
    return bucket;
  }
}
