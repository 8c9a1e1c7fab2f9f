import type { EntryLimits } from '#catalogue/EntryLimits.js';
import type { QuotaAsk } from '#admission/QuotaAsk.js';
import type { QuotaSettings } from '#admission/QuotaSettings.js';
import type { QuotaSlice } from '#admission/QuotaSlice.js';
import type { RateLimits } from '#admission/RateLimits.js';
import { TokenBucket } from '#admission/TokenBucket.js';

/** Factor of the demand that a slice covers while the limit is not contended, so that growth finds room. */
const HEADROOM = 1.25;

interface Given extends RateLimits {
  readonly number: number;
  /** End of the slice by the holder's clock, with the drift bound. */
  readonly endMs: number;
}

class ClientUse {
  public number = 0;
  public given: readonly Given[] = [];
  public demandRate = 0;
  public demandConcurrency = 0;
  public inFlight = 0;
  /** Time by which all requests admitted under the slices have ended. */
  public idleMs = 0;
}

class EntryUse {
  public readonly clients = new Map<string, ClientUse>();
  public readonly spare: TokenBucket;
  public limits: EntryLimits;

  public constructor(limits: EntryLimits, nowMs: number) {
    this.limits = limits;
    this.spare = new TokenBucket(0, 0, 0, nowMs);
  }
}

/**
 * Hands out slices of the fleet-wide limits of the entries that this daemon holds. At every moment the sum of the rate,
 * burst and concurrency that clients may use, together with the reserved part, is at most the limit. A slice is
 * counted until its end by this clock with the drift bound, whatever became of the reply that carried it. Concurrency
 * is counted until the client reports fewer requests in flight, or until the longest deadline after its last slice.
 */
export class QuotaHolder {
  private readonly settings: QuotaSettings;
  private readonly sinceMs: number;
  private readonly entries = new Map<string, EntryUse>();

  /** `nowMs` is the time at which this daemon became the holder. */
  public constructor(settings: QuotaSettings, nowMs: number) {
    this.settings = settings;
    this.sinceMs = nowMs;
  }

  /** Answers an ask with a slice. `limits` are the current limits of the entry. */
  public give(ask: QuotaAsk, limits: EntryLimits, nowMs: number): QuotaSlice {
    const entry = this.findEntry(ask.entry, limits, nowMs);
    this.forgetIdle(entry, nowMs);
    const client = this.findClient(entry, ask.client);
    noteAsk(client, ask, nowMs);
    const free = this.freeLimits(entry, client, nowMs);
    const part = this.divide(entry, client, free, nowMs);
    return this.record(entry, client, ask, part, nowMs);
  }

  /** Sum of what clients may use of the entry at `nowMs`, without the reserved part. */
  public outstanding(entryName: string, nowMs: number): RateLimits {
    const clients = [...(this.entries.get(entryName)?.clients.values() ?? [])];
    return sumLimits(clients.map((client) => heldBy(client, nowMs)));
  }

  private findEntry(name: string, limits: EntryLimits, nowMs: number): EntryUse {
    const entry = this.entries.get(name) ?? new EntryUse(limits, nowMs);
    entry.limits = limits;
    this.entries.set(name, entry);
    return entry;
  }

  private findClient(entry: EntryUse, name: string): ClientUse {
    const client = entry.clients.get(name) ?? new ClientUse();
    entry.clients.set(name, client);
    return client;
  }

  private forgetIdle(entry: EntryUse, nowMs: number): void {
    for (const [name, client] of entry.clients) if (client.idleMs < nowMs) entry.clients.delete(name);
  }

  /** What the limit leaves for this client beside the reserved part and the slices of the others. */
  private freeLimits(entry: EntryUse, client: ClientUse, nowMs: number): RateLimits {
    const others = [...entry.clients.values()].filter((other) => other !== client);
    const used = sumLimits(others.map((other) => heldBy(other, nowMs)));
    const { ratePerSecond, burst, concurrency } = this.distributable(entry.limits);
    return {
      ratePerSecond: Math.max(0, ratePerSecond - used.ratePerSecond),
      burst: Math.max(0, burst - used.burst),
      concurrency: Math.max(0, concurrency - used.concurrency),
    };
  }

  private distributable(limits: RateLimits): RateLimits {
    const { reserve } = this.settings;
    return {
      ratePerSecond: limits.ratePerSecond * (1 - reserve),
      burst: limits.burst - Math.floor(limits.burst * reserve),
      concurrency: limits.concurrency - Math.floor(limits.concurrency * reserve),
    };
  }

  private divide(entry: EntryUse, client: ClientUse, free: RateLimits, nowMs: number): RateLimits {
    const rateReady = nowMs >= this.sinceMs + this.guardedMs(this.settings.sliceMs);
    const concurrencyReady =
      nowMs >= this.sinceMs + this.guardedMs(this.settings.sliceMs + entry.limits.maxDeadlineMs);
    const whole = this.distributable(entry.limits);
    const clients = [...entry.clients.values()];
    const demandRate = sum(clients.map((other) => other.demandRate));
    const demandConcurrency = sum(clients.map((other) => other.demandConcurrency));
    const ratePerSecond = shareOf(whole.ratePerSecond, client.demandRate, demandRate);
    const burst = shareOf(whole.burst, client.demandRate, demandRate);
    const concurrency = shareOf(whole.concurrency, client.demandConcurrency, demandConcurrency);
    return {
      ratePerSecond: rateReady ? Math.min(free.ratePerSecond, ratePerSecond) : 0,
      burst: rateReady ? Math.min(free.burst, wholeUnits(burst)) : 0,
      // Until all requests that an earlier holder admitted have ended, only what already runs may be replaced.
      concurrency: Math.min(free.concurrency, concurrencyReady ? wholeUnits(concurrency) : client.inFlight),
    };
  }

  private record(
    entry: EntryUse,
    client: ClientUse,
    ask: QuotaAsk,
    part: RateLimits,
    nowMs: number,
  ): QuotaSlice {
    const { sliceMs } = this.settings;
    client.number += 1;
    const endMs = nowMs + this.guardedMs(sliceMs);
    client.given = [...client.given, { ...part, number: client.number, endMs }];
    client.idleMs = endMs + this.guardedMs(entry.limits.maxDeadlineMs);
    const tokens = this.takeSpareTokens(entry, part, nowMs);
    return { entry: ask.entry, number: client.number, ...part, tokens, sentMs: ask.sentMs, sliceMs };
  }

  /** Tokens accrue here at the rate that no client holds, so that a new client need not wait for its first token. */
  private takeSpareTokens(entry: EntryUse, part: RateLimits, nowMs: number): number {
    const used = sumLimits([...entry.clients.values()].map((client) => heldBy(client, nowMs)));
    const whole = this.distributable(entry.limits);
    const tokens = entry.spare.takeUpTo(part.burst, nowMs);
    const ready = nowMs >= this.sinceMs + this.guardedMs(this.settings.sliceMs);
    const rate = ready ? Math.max(0, whole.ratePerSecond - used.ratePerSecond) : 0;
    entry.spare.resize(rate, Math.max(0, whole.burst - used.burst), nowMs);
    return tokens;
  }

  private guardedMs(durationMs: number): number {
    return durationMs * (1 + this.settings.clockDrift);
  }
}

/** Updates what is known of the client; slices older than the one it applied can no longer be used. */
function noteAsk(client: ClientUse, ask: QuotaAsk, nowMs: number): void {
  client.number = Math.max(client.number, ask.applied);
  client.given = client.given.filter(({ number, endMs }) => number >= ask.applied && endMs >= nowMs);
  client.demandRate = Math.max(0, ask.ratePerSecond);
  client.demandConcurrency = Math.max(0, ask.concurrency);
  client.inFlight = ask.inFlight;
}

/** The most that the client may use: it has applied any one of the slices that are still counted. */
function heldBy(client: ClientUse, nowMs: number): RateLimits {
  const valid = client.given.filter(({ endMs }) => endMs >= nowMs);
  return {
    ratePerSecond: max(valid.map(({ ratePerSecond }) => ratePerSecond)),
    burst: max(valid.map(({ burst }) => burst)),
    // Requests outlive the slice under which they were admitted, so ended slices count as well.
    concurrency: Math.max(client.inFlight, max(client.given.map(({ concurrency }) => concurrency))),
  };
}

function shareOf(limit: number, demand: number, total: number): number {
  if (demand <= 0) return 0;
  return total * HEADROOM <= limit ? demand * HEADROOM : (limit * demand) / total;
}

/** At least one unit for any demand, since a client without a unit could admit nothing. */
function wholeUnits(value: number): number {
  return value <= 0 ? 0 : Math.max(1, Math.floor(value));
}

function sumLimits(parts: readonly RateLimits[]): RateLimits {
  return {
    ratePerSecond: sum(parts.map(({ ratePerSecond }) => ratePerSecond)),
    burst: sum(parts.map(({ burst }) => burst)),
    concurrency: sum(parts.map(({ concurrency }) => concurrency)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function max(values: readonly number[]): number {
  return values.reduce((largest, value) => Math.max(largest, value), 0);
}
