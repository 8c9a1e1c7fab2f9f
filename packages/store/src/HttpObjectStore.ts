import { Either, Left, Right, unknown } from 'purify-ts';
import { Agent, type Dispatcher } from 'undici';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { labelCodec } from '#codec/LabelCodec.js';
import { ordinalCodec } from '#codec/OrdinalCodec.js';
import type { Clock } from '#core/Clock.js';
import type { RandomSource } from '#core/RandomSource.js';
import { RouterError } from '#core/RouterError.js';
import type { HttpStoreOptions } from '#store/HttpStoreOptions.js';
import { ObjectStore } from '#store/ObjectStore.js';
import type { PutRequest } from '#store/PutRequest.js';
import type { PutResult } from '#store/PutResult.js';
import type { ReadPurpose } from '#store/ReadPurpose.js';
import type { StoreObject } from '#store/StoreObject.js';
import { StoreRateLimiter } from '#store/StoreRateLimiter.js';

/** The store answers in milliseconds; a second separates a slow store from one that is down. */
const TIMEOUT_MS = 1_000;
/** 2,000 reads a second for 4,300 daemons are 0.46 a second for each. */
const CALLS_PER_SECOND = 0.4;
/** Covers a join, a takeover of a failure domain and a drain in batches without waiting. */
const CALL_BURST = 60;
/** A drain takes about 30 calls. Look-ups, as for misdirected requests, would otherwise leave none to it. */
const CHANGE_RESERVE = 30;
/** An update begins only if its write can follow: a spent budget would otherwise go into reads alone. */
const WRITE_RESERVE = 1;
const READ_ATTEMPTS = 3;
const RETRY_PAUSE_MS = 50;
/** Retries are at most one tenth of the calls, so that they don't multiply the load of a failing store. */
const RETRIES_PER_CALL = 0.1;
const RETRY_BURST = 10;
/** Errors that arise before a request is written. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface Answer {
  readonly status: number;
  readonly version: number;
  readonly text: string;
}

interface CallParts {
  readonly body?: string;
  /** Calls of the budget that this one has to leave. */
  readonly reserve?: number;
}

/** Marks that one object keeps at most, with room for more than are kept today. */
const MAX_MARKS = 10_000;

const bodyCodec = createObjectCodec({ marks: createListCodec(labelCodec, MAX_MARKS), value: unknown });

interface Body {
  readonly marks: readonly string[];
  readonly value: unknown;
}

/** Client of an object store over HTTP: ETag versions, `If-Match` and `If-None-Match` writes, long-poll watches. */
export class HttpObjectStore extends ObjectStore {
  private readonly url: string;
  private readonly clock: Clock;
  private readonly random: RandomSource;
  private readonly timeoutMs: number;
  private readonly calls: StoreRateLimiter;
  private readonly reserves: Readonly<Record<ReadPurpose, number>>;
  private readonly retries: StoreRateLimiter;
  private readonly agent: Agent;

  public constructor(options: HttpStoreOptions) {
    super();
    this.url = options.url;
    this.clock = options.clock;
    this.random = options.random;
    this.timeoutMs = options.timeoutMs ?? TIMEOUT_MS;
    this.calls = new StoreRateLimiter(
      options.clock,
      options.callsPerSecond ?? CALLS_PER_SECOND,
      options.callBurst ?? CALL_BURST,
    );
    this.reserves = { lookUp: options.changeReserve ?? CHANGE_RESERVE, change: WRITE_RESERVE };
    this.retries = new StoreRateLimiter(options.clock, 0, RETRY_BURST);
    this.agent = new Agent({ connections: 8, connect: { timeout: this.timeoutMs }, pipelining: 1 });
  }

  public override async get(
    name: string,
    purpose: ReadPurpose = 'lookUp',
  ): Promise<Either<RouterError, StoreObject | undefined>> {
    const reserve = this.reserves[purpose];
    for (let attempt = 1; ; attempt += 1) {
      const answer = await this.call('GET', this.pathOf(name), {}, this.timeoutMs, { reserve });
      if (answer.isRight() || attempt === READ_ATTEMPTS || !this.mayRetry(answer)) {
        return answer.chain((value) => this.parseRead(name, value));
      }
      await this.pause(RETRY_PAUSE_MS * attempt * (0.5 + this.random.fraction()));
    }
  }

  public override async put(request: PutRequest): Promise<Either<RouterError, PutResult>> {
    const condition =
      request.ifVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${request.ifVersion}"` };
    const body = JSON.stringify({ marks: request.marks, value: request.value } satisfies Body);
    const headers = { ...condition, 'content-type': 'application/json' };
    const answer = await this.call('PUT', this.pathOf(request.name), headers, this.timeoutMs, { body });
    return answer.chain((value) => this.parsePut(request.name, value));
  }

  public override async watch(
    name: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Either<RouterError, StoreObject | undefined>> {
    const path = `${this.pathOf(name)}?watch=${afterVersion}&timeoutMs=${timeoutMs}`;
    const answer = await this.call('GET', path, {}, this.timeoutMs + timeoutMs);
    return answer.chain((value) => this.parseRead(name, value));
  }

  public override hasSpareCalls(): boolean {
    return this.calls.has(this.reserves.lookUp);
  }

  public override close(): Promise<void> {
    return this.agent.destroy();
  }

  private async call(
    method: Dispatcher.HttpMethod,
    path: string,
    headers: Readonly<Record<string, string>>,
    timeoutMs: number,
    { body, reserve = 0 }: CallParts = {},
  ): Promise<Either<RouterError, Answer>> {
    if (!this.calls.take(reserve)) return Left(this.failure('storeBudgetSpent', 'the call budget is spent'));
    this.retries.add(RETRIES_PER_CALL);
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const res = await this.agent.request({
        origin: this.url,
        path,
        method,
        headers,
        body: body ?? null,
        signal,
      });
      const text = await res.body.text();
      return Right({ status: res.statusCode, version: parseVersion(res.headers.etag), text });
    } catch (err) {
      const code = isUnsent(err) ? 'storeUnreachable' : 'storeReplyLost';
      return Left(this.failure(code, String(err), err));
    }
  }

  private pause(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(durationMs, resolve));
  }

  private mayRetry(answer: Either<RouterError, Answer>): boolean {
    const code = answer
      .swap()
      .map((err) => err.fields.code)
      .orDefault('');
    return code !== 'storeBudgetSpent' && this.retries.take();
  }

  private parseRead(name: string, answer: Answer): Either<RouterError, StoreObject | undefined> {
    if (answer.status === 404 || answer.status === 304) return Right(undefined);
    if (answer.status !== 200) return Left(this.refusal(answer));
    return this.parseObject(name, answer);
  }

  private parsePut(name: string, answer: Answer): Either<RouterError, PutResult> {
    if (answer.status === 200 || answer.status === 201) {
      // The write was carried out, and a later read tells its version.
      return ordinalCodec.decode(answer.version).bimap(
        (message) => this.failure('storeReplyLost', `version of ${name}: ${message}`),
        (version) => ({ type: 'accepted', version }),
      );
    }
    if (answer.status !== 412) return Left(this.refusal(answer));
    if (answer.version === 0) return Right({ type: 'conflict', current: undefined });
    return this.parseObject(name, answer).map((current) => ({ type: 'conflict', current }));
  }

  private parseObject(name: string, answer: Answer): Either<RouterError, StoreObject> {
    return Either.encase((): unknown => JSON.parse(answer.text))
      .mapLeft(({ message }) => message)
      .chain((body) => bodyCodec.decode(body))
      .chain(({ marks, value }) =>
        ordinalCodec.decode(answer.version).map((version) => ({ name, version, marks, value })),
      )
      .mapLeft((message) => this.failure('storeAnswerInvalid', `object ${name}: ${message}`));
  }

  private refusal(answer: Answer): RouterError {
    return this.failure('storeRefused', `status ${answer.status}`);
  }

  private failure(code: string, message: string, cause?: unknown): RouterError {
    return new RouterError(
      { code, step: 'store', peer: this.url, ran: 'not run', status: 503 },
      message,
      cause,
    );
  }

  private pathOf(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
  }
}

function parseVersion(etag: string | readonly string[] | undefined): number {
  return typeof etag === 'string' ? Number(etag.replaceAll('"', '')) : 0;
}

function isUnsent(err: unknown): boolean {
  return err instanceof Error && 'code' in err && UNSENT_CODES.has(String(err.code));
}
