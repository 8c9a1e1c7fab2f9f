import { EventEmitter } from 'node:events';
import { build, type Histogram } from 'hdr-histogram-js';
import { Pool, type Dispatcher } from 'undici';
import type { Clock } from '#core/Clock.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { Task } from '#core/Task.js';
import type { CallResponse } from '#load/CallResponse.js';
import type { Call } from '#load/Call.js';
import type { CallOutcome } from '#load/CallOutcome.js';
import { decideNextStep } from '#load/DecideNextStep.js';
import type { HistoryRecorder } from '#load/HistoryRecorder.js';
import { KeyPicker } from '#load/KeyPicker.js';
import type { LoadClass } from '#load/LoadClass.js';
import type { LoadContent } from '#load/LoadContent.js';
import type { LoadMessage } from '#load/LoadMessage.js';
import type { LoadTestReport } from '#load/LoadTestReport.js';
import type { LoadSettings } from '#load/LoadSettings.js';
import { readCallResponse } from '#load/ReadCallResponse.js';

const TICK_MS = 1;
/** Time beyond its deadline for which an attempt is waited for, so that late responses are seen. */
const LATE_MS = 500;
/** Entries of the caches of epochs and owners by key. */
const MAX_CACHED_KEYS = 100_000;
const MAX_LATENCY_US = 120_000_000;

const NO_OUTCOMES: Readonly<Record<CallOutcome, number>> = {
  ok: 0,
  late: 0,
  corrupt: 0,
  refused: 0,
  failed: 0,
  unknown: 0,
};

const LOST: CallResponse = {
  status: 0,
  ran: 'unknown',
  epoch: '',
  owner: '',
  delivery: '',
  retryAfterMs: 50,
  at: [],
  body: Buffer.alloc(0),
};

/**
 * Sends requests at a fixed rate whether or not earlier ones were answered. Latency counts from the intended send time,
 * so that a stall of the system under test is not hidden by a generator that waits for it.
 */
export class LoadGenerator extends Task<LoadMessage> {
  private readonly random: RandomSource;
  private readonly keys: KeyPicker;
  private readonly pools = new Map<string, Pool>();
  private readonly epochs = new Map<string, string>();
  private readonly owners = new Map<string, string>();
  private readonly outcomes = new Map<string, Readonly<Record<CallOutcome, number>>>();
  private readonly latencies = new Map<string, Histogram>();
  private reply: ((report: LoadTestReport) => void) | undefined;
  private startMs = 0;
  private arrivals = 0;
  private sent = 0;
  private skipped = 0;
  private inFlight = 0;
  private confirming = 0;
  private accepted = 0;
  private rejected = 0;
  private isEnding = false;

  public constructor(
    private readonly settings: LoadSettings,
    private readonly content: LoadContent,
    private readonly history?: HistoryRecorder,
    private readonly clock: Clock = new SystemClock(),
  ) {
    super();
    this.random = new RandomSource(settings.seed);
    this.keys = new KeyPicker(settings.keys, this.random);
  }

  /** Sends the load and resolves with the report when all requests have ended or their time is up. */
  public run(): Promise<LoadTestReport> {
    return this.ask((reply) => ({ type: 'start', reply }));
  }

  public override stop(): void {
    super.stop();
    for (const pool of this.pools.values()) void pool.destroy();
  }

  protected override receive(message: LoadMessage): void {
    switch (message.type) {
      case 'start': {
        this.start(message.reply);
        return;
      }
      case 'tick': {
        this.sendDue();
        return;
      }
      case 'answered': {
        this.handleAnswer(message.call, message.answer);
        return;
      }
      case 'repeat': {
        this.sendAttempt(message.call);
        return;
      }
      case 'confirmed': {
        this.handleConfirmation(message.isAccepted);
        return;
      }
      case 'expired': {
        this.finish();
        return;
      }
    }
  }

  private start(reply: (report: LoadTestReport) => void): void {
    this.reply = reply;
    this.startMs = this.clock.monotonicMs();
    this.sendDue();
  }

  /** Sends all requests whose intended time has come, then waits for the next tick. */
  private sendDue(): void {
    const { ratePerSecond, maxRequests, maxDurationMs, maxInFlight } = this.settings;
    const elapsedMs = Math.min(this.clock.monotonicMs() - this.startMs, maxDurationMs);
    const due = Math.min(maxRequests, Math.floor((elapsedMs * ratePerSecond) / 1_000));
    for (; this.arrivals < due; this.arrivals++) {
      if (this.inFlight >= maxInFlight) this.skipped++;
      else this.sendCall(this.createCall(this.arrivals));
    }
    if (due >= maxRequests || elapsedMs >= maxDurationMs) {
      this.end();
      return;
    }
    this.clock.schedule(TICK_MS, () => this.post({ type: 'tick' }));
  }

  /** Starts no more requests and bounds the time for which those in flight are waited for. */
  private end(): void {
    this.isEnding = true;
    const longest = Math.max(0, ...this.settings.mix.map((part) => part.deadlineMs));
    this.clock.schedule(longest + 2 * LATE_MS, () => this.post({ type: 'expired' }));
    this.finishWhenIdle();
  }

  private createCall(index: number): Call {
    const intendedMs = this.startMs + ((index + 1) * 1_000) / this.settings.ratePerSecond;
    const part = this.pickPart();
    const key = part.keyed ? this.keys.pick(intendedMs - this.startMs) : '';
    const name = nameKey(part, key);
    const { targets, seed } = this.settings;
    return {
      requestId: `${seed.toString(36)}-${index}`,
      part,
      key,
      intendedMs,
      attempt: 1,
      epoch: part.repeatable ? '' : (this.epochs.get(name) ?? ''),
      target: this.owners.get(name) ?? targets[index % targets.length] ?? '',
    };
  }

  private pickPart(): LoadClass {
    const { mix } = this.settings;
    const total = mix.reduce((sum, part) => sum + part.weight, 0);
    let left = this.random.fraction() * total;
    const found = mix.find((part) => (left -= part.weight) < 0) ?? mix.at(-1);
    if (found === undefined) throw new TypeError('The request mix is empty.');
    return found;
  }

  private sendCall(call: Call): void {
    this.sent++;
    this.inFlight++;
    this.sendAttempt(call);
  }

  private sendAttempt(call: Call): void {
    const { requestId, attempt, part } = call;
    this.history?.record({
      type: 'send',
      requestId,
      attempt,
      team: part.team,
      repeatable: part.repeatable,
      atMs: this.clock.wallMs(),
    });
    void this.request(call).then((answer) => this.post({ type: 'answered', call, answer }));
  }

  private async request(call: Call): Promise<CallResponse> {
    const { part, target } = call;
    const { method, path, body } = this.content.createOrder(call);
    const remainingMs = Math.max(1, Math.floor(call.intendedMs + part.deadlineMs - this.clock.monotonicMs()));
    const headers = createHeaders(call, remainingMs);
    const sent = {
      method,
      path: `/v1/${part.service}/${path}`,
      headers,
      body: method === 'GET' ? null : body,
    };
    try {
      return await this.exchange(target, sent, remainingMs + LATE_MS);
    } catch {
      return LOST;
    }
  }

  /** Sends a request and reads the whole response; rejects when the time is up. */
  private async exchange(
    target: string,
    sent: Omit<Dispatcher.RequestOptions, 'opaque'>,
    timeoutMs: number,
  ): Promise<CallResponse> {
    // An emitter costs less than an AbortSignal, whose timer also stays after the response.
    const signal = new EventEmitter();
    const cancel = this.clock.schedule(timeoutMs, () => signal.emit('abort'));
    try {
      const response = await this.findPool(target).request({ ...sent, signal });
      const received = Buffer.from(await response.body.arrayBuffer());
      return readCallResponse(response.statusCode, response.headers, received);
    } finally {
      cancel();
    }
  }

  private handleAnswer(call: Call, answer: CallResponse): void {
    const nowMs = this.clock.monotonicMs();
    const isSuccess = answer.status >= 200 && answer.status < 300;
    const isContentRight = !isSuccess || this.content.checkContent(call, answer.body);
    this.recordResponse(call, answer, isContentRight);
    this.learn(call, answer);
    if (isSuccess && isContentRight && call.part.confirms && answer.delivery !== '')
      this.confirm(call, answer);
    const step = decideNextStep(call, answer, isContentRight, nowMs);
    if (step.kind === 'repeat') {
      const next = answer.status === 0 ? this.retarget(step.call) : step.call;
      this.clock.schedule(step.delayMs, () => this.post({ type: 'repeat', call: next }));
      return;
    }
    this.count(call, step.outcome, nowMs);
    this.inFlight--;
    this.finishWhenIdle();
  }

  /** Sends the next attempt to another address, as the present one may be lost. */
  private retarget(call: Call): Call {
    const { targets } = this.settings;
    return { ...call, target: targets[(targets.indexOf(call.target) + 1) % targets.length] ?? call.target };
  }

  private recordResponse(call: Call, answer: CallResponse, isContentRight: boolean): void {
    if (answer.status === 0) return;
    this.history?.record({
      type: 'response',
      requestId: call.requestId,
      attempt: call.attempt,
      team: call.part.team,
      status: answer.status,
      ran: answer.ran,
      isContentRight,
      atMs: this.clock.wallMs(),
    });
  }

  /** Keeps the newest epoch and owner of the key for later requests; a lost connection forgets the owner. */
  private learn(call: Call, answer: CallResponse): void {
    const name = nameKey(call.part, call.key);
    if (this.epochs.size >= MAX_CACHED_KEYS) this.epochs.clear();
    if (this.owners.size >= MAX_CACHED_KEYS) this.owners.clear();
    if (answer.epoch !== '') this.epochs.set(name, answer.epoch);
    if (!this.settings.followOwner || call.key === '') return;
    if (answer.owner !== '') this.owners.set(name, `http://${answer.owner}`);
    else if (answer.status === 0 || answer.ran === 'not run') this.owners.delete(name);
  }

  private confirm(call: Call, answer: CallResponse): void {
    this.confirming++;
    void this.sendReceipt(call, answer).then((isAccepted) => this.post({ type: 'confirmed', isAccepted }));
  }

  private async sendReceipt({ target, part }: Call, answer: CallResponse): Promise<boolean> {
    const { delivery } = answer;
    const sent = {
      method: 'POST' as const,
      path: delivery.startsWith('/') ? delivery : `/v1/-/receipts/${delivery}`,
      headers: { 'content-type': 'application/json', 'amr-team': part.team },
      body: JSON.stringify({ bytes: answer.body.length }),
    };
    try {
      const { status } = await this.exchange(target, sent, LATE_MS);
      return status < 300;
    } catch {
      return false;
    }
  }

  private handleConfirmation(isAccepted: boolean): void {
    this.confirming--;
    if (isAccepted) this.accepted++;
    else this.rejected++;
    this.finishWhenIdle();
  }

  private count(call: Call, outcome: CallOutcome, nowMs: number): void {
    const name = `${call.part.team}/${call.part.class}`;
    const counts = this.outcomes.get(name) ?? NO_OUTCOMES;
    this.outcomes.set(name, { ...counts, [outcome]: counts[outcome] + 1 });
    if (outcome !== 'ok' && outcome !== 'late') return;
    if (call.intendedMs < this.startMs + this.settings.warmUpMs) return;
    const histogram = this.latencies.get(name) ?? createHistogram();
    histogram.recordValue(
      Math.min(MAX_LATENCY_US, Math.max(1, Math.round((nowMs - call.intendedMs) * 1_000))),
    );
    this.latencies.set(name, histogram);
  }

  private finishWhenIdle(): void {
    if (this.isEnding && this.inFlight === 0 && this.confirming === 0) this.finish();
  }

  private finish(): void {
    const { reply } = this;
    if (reply === undefined) return;
    this.reply = undefined;
    this.stop();
    reply({
      seed: this.settings.seed,
      sent: this.sent,
      skipped: this.skipped,
      unfinished: this.inFlight,
      durationMs: this.clock.monotonicMs() - this.startMs,
      receipts: { accepted: this.accepted, refused: this.rejected },
      outcomes: this.outcomes,
      latencies: this.latencies,
    });
  }

  private findPool(target: string): Pool {
    const known = this.pools.get(target);
    if (known !== undefined) return known;
    const pool = new Pool(target, { connections: this.settings.connections, pipelining: 1 });
    this.pools.set(target, pool);
    return pool;
  }
}

function createHeaders(call: Call, remainingMs: number): Readonly<Record<string, string>> {
  const { part, key, epoch, requestId } = call;
  return {
    'amr-team': part.team,
    'amr-class': part.class,
    'amr-deadline-ms': String(remainingMs),
    ...(key === '' ? {} : { 'amr-key': key }),
    ...(part.repeatable ? {} : { 'idempotency-key': requestId }),
    ...(part.repeatable || epoch === '' ? {} : { 'amr-epoch': epoch }),
  };
}

function nameKey(part: LoadClass, key: string): string {
  return `${part.service}/${part.team}/${part.class}/${key}`;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}
