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

/** A healthy store responds within milliseconds, so a call of this length means that the store is down. */
const CALL_TIMEOUT_MS = 1_000;
/** The store serves 2,000 reads a second, which is 0.46 a second for each of 4,300 daemons. */
const CALLS_PER_SECOND = 0.4;
/** Enough for a join, a takeover of a failure domain and a drain in batches without a delay by the rate limit. */
const CALL_BURST = 60;
/** A drain needs about 30 calls. Without a reserve, look-ups for misdirected requests could use up the budget. */
const CHANGE_RESERVE = 30;
/** An update starts only if its write can follow; otherwise a nearly spent budget would be used for reads alone. */
const WRITE_RESERVE = 1;
const READ_ATTEMPTS = 3;
const RETRY_DELAY_MS = 50;
/** Limits retries to one tenth of the calls, so that they do not multiply the load of a failing store. */
const RETRIES_PER_CALL = 0.1;
const RETRY_BURST = 10;
/** Errors that occur before a request is written, so that the call had no effect. */
const UNSENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

interface StoreResponse {
  readonly status: number;
  readonly version: number;
  readonly text: string;
}

interface CallOptions {
  readonly body?: string;
  /** Number of calls that must be left in the budget after this one. */
  readonly reserve?: number;
}

/** Upper limit for decoding; far above `maxWriteMarks`, so that daemons may keep more marks in the future. */
const MAX_MARKS = 10_000;

const bodyCodec = createObjectCodec({ marks: createListCodec(labelCodec, MAX_MARKS), value: unknown });

interface ObjectBody {
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
    this.timeoutMs = options.timeoutMs ?? CALL_TIMEOUT_MS;
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
      const response = await this.call('GET', this.formatPath(name), {}, this.timeoutMs, { reserve });
      if (response.isRight() || attempt === READ_ATTEMPTS || !this.mayRetry(response)) {
        return response.chain((value) => this.parseRead(name, value));
      }
      await this.delay(RETRY_DELAY_MS * attempt * (0.5 + this.random.fraction()));
    }
  }

  public override async put(request: PutRequest): Promise<Either<RouterError, PutResult>> {
    const condition =
      request.ifVersion === 0 ? { 'if-none-match': '*' } : { 'if-match': `"${request.ifVersion}"` };
    const body = JSON.stringify({ marks: request.marks, value: request.value } satisfies ObjectBody);
    const headers = { ...condition, 'content-type': 'application/json' };
    const response = await this.call('PUT', this.formatPath(request.name), headers, this.timeoutMs, { body });
    return response.chain((value) => this.parsePut(request.name, value));
  }

  public override async watch(
    name: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<Either<RouterError, StoreObject | undefined>> {
    const path = `${this.formatPath(name)}?watch=${afterVersion}&timeoutMs=${timeoutMs}`;
    const response = await this.call('GET', path, {}, this.timeoutMs + timeoutMs);
    return response.chain((value) => this.parseRead(name, value));
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
    { body, reserve = 0 }: CallOptions = {},
  ): Promise<Either<RouterError, StoreResponse>> {
    if (!this.calls.take(reserve))
      return Left(this.createError('storeBudgetSpent', 'the call budget is spent'));
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
      return Left(this.createError(code, String(err), err));
    }
  }

  private delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => this.clock.schedule(durationMs, resolve));
  }

  private mayRetry(response: Either<RouterError, StoreResponse>): boolean {
    const code = response
      .swap()
      .map((err) => err.fields.code)
      .orDefault('');
    return code !== 'storeBudgetSpent' && this.retries.take();
  }

  private parseRead(name: string, response: StoreResponse): Either<RouterError, StoreObject | undefined> {
    if (response.status === 404 || response.status === 304) return Right(undefined);
    if (response.status !== 200) return Left(this.createRefusal(response));
    return this.parseObject(name, response);
  }

  private parsePut(name: string, response: StoreResponse): Either<RouterError, PutResult> {
    if (response.status === 200 || response.status === 201) {
      // The write was executed even if its version is unreadable; a later read of the object returns the version.
      return ordinalCodec.decode(response.version).bimap(
        (message) => this.createError('storeReplyLost', `version of ${name}: ${message}`),
        (version) => ({ type: 'accepted', version }),
      );
    }
    if (response.status !== 412) return Left(this.createRefusal(response));
    if (response.version === 0) return Right({ type: 'conflict', current: undefined });
    return this.parseObject(name, response).map((current) => ({ type: 'conflict', current }));
  }

  private parseObject(name: string, response: StoreResponse): Either<RouterError, StoreObject> {
    return Either.encase((): unknown => JSON.parse(response.text))
      .mapLeft(({ message }) => message)
      .chain((body) => bodyCodec.decode(body))
      .chain(({ marks, value }) =>
        ordinalCodec.decode(response.version).map((version) => ({ name, version, marks, value })),
      )
      .mapLeft((message) => this.createError('storeAnswerInvalid', `object ${name}: ${message}`));
  }

  private createRefusal(response: StoreResponse): RouterError {
    return this.createError('storeRefused', `status ${response.status}`);
  }

  private createError(code: string, message: string, cause?: unknown): RouterError {
    return new RouterError(
      { code, step: 'store', peer: this.url, ran: 'not run', status: 503 },
      message,
      cause,
    );
  }

  private formatPath(name: string): string {
    return `/objects/${encodeURIComponent(name)}`;
  }
}

function parseVersion(etag: string | readonly string[] | undefined): number {
  return typeof etag === 'string' ? Number(etag.replaceAll('"', '')) : 0;
}

function isUnsent(err: unknown): boolean {
  return err instanceof Error && 'code' in err && UNSENT_CODES.has(String(err.code));
}
