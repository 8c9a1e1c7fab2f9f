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

const SEND_INTERVAL_MS = 1;
/** Wait for a response beyond its deadline, so that late responses are recorded. */
const LATE_RESPONSE_MS = 500;
/** Size limit of the caches of epochs and owners by key. */
const MAX_CACHED_KEYS = 100_000;
const MAX_LATENCY_US = 120_000_000;

const ZERO_OUTCOMES: Readonly<Record<CallOutcome, number>> = {
  ok: 0,
  late: 0,
  corrupt: 0,
  refused: 0,
  failed: 0,
  unknown: 0,
};

const LOST_RESPONSE: CallResponse = {
  status: 0,
  ran: 'unknown',
  epoch: '',
  owner: '',
  delivery: '',
  retryAfterMs: 50,
  alternatives: [],
  body: Buffer.alloc(0),
};

/**
 * Sends requests at a fixed rate, whether or not earlier ones were answered (open loop). Latency counts from the
 * intended send time, so that it includes the delay of requests that came due during a stall of the system.
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
  private receiptsInFlight = 0;
  private acceptedReceipts = 0;
  private refusedReceipts = 0;
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
        this.handleResponse(message.call, message.response);
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
      this.stopSending();
      return;
    }
    this.clock.schedule(SEND_INTERVAL_MS, () => this.post({ type: 'tick' }));
  }

  /** Stops sending new requests and limits the wait for those in flight. */
  private stopSending(): void {
    this.isEnding = true;
    const longestDeadlineMs = Math.max(0, ...this.settings.mix.map((loadClass) => loadClass.deadlineMs));
    this.clock.schedule(longestDeadlineMs + 2 * LATE_RESPONSE_MS, () => this.post({ type: 'expired' }));
    this.finishWhenIdle();
  }

  private createCall(index: number): Call {
    const intendedMs = this.startMs + ((index + 1) * 1_000) / this.settings.ratePerSecond;
    const loadClass = this.pickLoadClass();
    const key = loadClass.keyed ? this.keys.pick(intendedMs - this.startMs) : '';
    const name = formatCacheKey(loadClass, key);
    const { targets, seed } = this.settings;
    return {
      requestId: `${seed.toString(36)}-${index}`,
      loadClass,
      key,
      intendedMs,
      attempt: 1,
      epoch: loadClass.repeatable ? '' : (this.epochs.get(name) ?? ''),
      target: this.owners.get(name) ?? targets[index % targets.length] ?? '',
    };
  }

  private pickLoadClass(): LoadClass {
    const { mix } = this.settings;
    const total = mix.reduce((sum, loadClass) => sum + loadClass.weight, 0);
    let remainingWeight = this.random.fraction() * total;
    const found = mix.find((loadClass) => (remainingWeight -= loadClass.weight) < 0) ?? mix.at(-1);
    if (found === undefined) throw new TypeError('The request mix is empty.');
    return found;
  }

  private sendCall(call: Call): void {
    this.sent++;
    this.inFlight++;
    this.sendAttempt(call);
  }

  private sendAttempt(call: Call): void {
    const { requestId, attempt, loadClass } = call;
    this.history?.record({
      type: 'send',
      requestId,
      attempt,
      team: loadClass.team,
      repeatable: loadClass.repeatable,
      atMs: this.clock.wallMs(),
    });
    void this.sendRequest(call).then((response) => this.post({ type: 'answered', call, response }));
  }

  private async sendRequest(call: Call): Promise<CallResponse> {
    const { loadClass, target } = call;
    const { method, path, body } = this.content.createRequest(call);
    const remainingMs = Math.max(
      1,
      Math.floor(call.intendedMs + loadClass.deadlineMs - this.clock.monotonicMs()),
    );
    const headers = createHeaders(call, remainingMs);
    const options = {
      method,
      path: `/v1/${loadClass.service}/${path}`,
      headers,
      body: method === 'GET' ? null : body,
    };
    try {
      return await this.exchange(target, options, remainingMs + LATE_RESPONSE_MS);
    } catch {
      return LOST_RESPONSE;
    }
  }

  /** Sends a request and reads the whole response; rejects after `timeoutMs`. */
  private async exchange(
    target: string,
    options: Omit<Dispatcher.RequestOptions, 'opaque'>,
    timeoutMs: number,
  ): Promise<CallResponse> {
    // An EventEmitter costs less than an AbortSignal with a timeout, whose timer also outlives the response.
    const signal = new EventEmitter();
    const cancel = this.clock.schedule(timeoutMs, () => signal.emit('abort'));
    try {
      const response = await this.findPool(target).request({ ...options, signal });
      const received = Buffer.from(await response.body.arrayBuffer());
      return readCallResponse(response.statusCode, response.headers, received);
    } finally {
      cancel();
    }
  }

  private handleResponse(call: Call, response: CallResponse): void {
    const nowMs = this.clock.monotonicMs();
    const isSuccess = response.status >= 200 && response.status < 300;
    const isContentRight = !isSuccess || this.content.checkContent(call, response.body);
    this.recordResponse(call, response, isContentRight);
    this.updateCaches(call, response);
    if (isSuccess && isContentRight && call.loadClass.sendsReceipts && response.delivery !== '')
      this.confirmDelivery(call, response);
    const step = decideNextStep(call, response, isContentRight, nowMs);
    if (step.kind === 'repeat') {
      const next = response.status === 0 ? this.retarget(step.call) : step.call;
      this.clock.schedule(step.delayMs, () => this.post({ type: 'repeat', call: next }));
      return;
    }
    this.recordOutcome(call, step.outcome, nowMs);
    this.inFlight--;
    this.finishWhenIdle();
  }

  /** Directs the next attempt to another address, since the server at the current one may be lost. */
  private retarget(call: Call): Call {
    const { targets } = this.settings;
    return { ...call, target: targets[(targets.indexOf(call.target) + 1) % targets.length] ?? call.target };
  }

  private recordResponse(call: Call, response: CallResponse, isContentRight: boolean): void {
    if (response.status === 0) return;
    this.history?.record({
      type: 'response',
      requestId: call.requestId,
      attempt: call.attempt,
      team: call.loadClass.team,
      status: response.status,
      ran: response.ran,
      isContentRight,
      atMs: this.clock.wallMs(),
    });
  }

  /** Caches the newest epoch and owner of the key; a lost connection or a refusal as `not run` removes the owner. */
  private updateCaches(call: Call, response: CallResponse): void {
    const name = formatCacheKey(call.loadClass, call.key);
    if (this.epochs.size >= MAX_CACHED_KEYS) this.epochs.clear();
    if (this.owners.size >= MAX_CACHED_KEYS) this.owners.clear();
    if (response.epoch !== '') this.epochs.set(name, response.epoch);
    if (!this.settings.followOwner || call.key === '') return;
    if (response.owner !== '') this.owners.set(name, `http://${response.owner}`);
    else if (response.status === 0 || response.ran === 'not run') this.owners.delete(name);
  }

  private confirmDelivery(call: Call, response: CallResponse): void {
    this.receiptsInFlight++;
    void this.sendReceipt(call, response).then((isAccepted) => this.post({ type: 'confirmed', isAccepted }));
  }

  private async sendReceipt({ target, loadClass }: Call, response: CallResponse): Promise<boolean> {
    const { delivery } = response;
    const options = {
      method: 'POST' as const,
      path: delivery.startsWith('/') ? delivery : `/v1/-/receipts/${delivery}`,
      headers: { 'content-type': 'application/json', 'amr-team': loadClass.team },
      body: JSON.stringify({ bytes: response.body.length }),
    };
    try {
      const { status } = await this.exchange(target, options, LATE_RESPONSE_MS);
      return status < 300;
    } catch {
      return false;
    }
  }

  private handleConfirmation(isAccepted: boolean): void {
    this.receiptsInFlight--;
    if (isAccepted) this.acceptedReceipts++;
    else this.refusedReceipts++;
    this.finishWhenIdle();
  }

  private recordOutcome(call: Call, outcome: CallOutcome, nowMs: number): void {
    const name = `${call.loadClass.team}/${call.loadClass.class}`;
    const counts = this.outcomes.get(name) ?? ZERO_OUTCOMES;
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
    if (this.isEnding && this.inFlight === 0 && this.receiptsInFlight === 0) this.finish();
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
      receipts: { accepted: this.acceptedReceipts, refused: this.refusedReceipts },
      outcomes: this.outcomes,
      latencies: this.latencies,
    });
  }

  private findPool(target: string): Pool {
    const existing = this.pools.get(target);
    if (existing !== undefined) return existing;
    const pool = new Pool(target, { connections: this.settings.connections, pipelining: 1 });
    this.pools.set(target, pool);
    return pool;
  }
}

function createHeaders(call: Call, remainingMs: number): Readonly<Record<string, string>> {
  const { loadClass, key, epoch, requestId } = call;
  return {
    'amr-team': loadClass.team,
    'amr-class': loadClass.class,
    'amr-deadline-ms': String(remainingMs),
    ...(key === '' ? {} : { 'amr-key': key }),
    ...(loadClass.repeatable ? {} : { 'idempotency-key': requestId }),
    ...(loadClass.repeatable || epoch === '' ? {} : { 'amr-epoch': epoch }),
  };
}

function formatCacheKey(loadClass: LoadClass, key: string): string {
  return `${loadClass.service}/${loadClass.team}/${loadClass.class}/${key}`;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_US,
    numberOfSignificantValueDigits: 3,
  });
}
