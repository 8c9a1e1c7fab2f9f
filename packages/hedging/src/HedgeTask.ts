import { ChartCursor } from '#chart/ChartCursor.js';
import { LogSampler } from '#core/LogSampler.js';
import { Task } from '#core/Task.js';
import type { HedgeableRequest } from '#hedging/HedgeableRequest.js';
import type { HedgedRequest } from '#hedging/HedgedRequest.js';
import { hedgedRequestChart } from '#hedging/HedgedRequestChart.js';
import type { HedgeMessage } from '#hedging/HedgeMessage.js';
import type { HedgeOptions } from '#hedging/HedgeOptions.js';
import { HedgePolicy } from '#hedging/HedgePolicy.js';
import type { HedgeResult } from '#hedging/HedgeResult.js';
import type { HedgeServer } from '#hedging/HedgeServer.js';

const MAX_LINES_PER_SECOND = 5;

const MICROS_PER_MS = 1_000;

const FIRST_ERROR_STATUS = 500;

const RESULT_RANKS = ['refused', 'lost', 'answered'] as const;

/**
 * Sends requests that may be repeated, and a second copy of those that are slower than usual for their kind. The first
 * success is the result; the other copy is cancelled. Owns the requests that are under way.
 */
export class HedgeTask<R extends HedgeableRequest, S extends HedgeServer, T extends HedgeResult> extends Task<
  HedgeMessage<R, S, T>
> {
  private readonly options: HedgeOptions<R, S, T>;
  private readonly policy: HedgePolicy;
  private readonly requests = new Map<number, HedgedRequest<R, S, T>>();
  /** Numbers of the requests by caller's request id and first server. */
  private readonly numbers = new Map<string, number>();
  private readonly sampler = new LogSampler(MAX_LINES_PER_SECOND);
  private nextNumber = 1;
  private stopping = false;

  public constructor(options: HedgeOptions<R, S, T>) {
    super();
    this.options = options;
    this.policy = new HedgePolicy(options.settings);
  }

  public override stop(): void {
    super.stop();
    for (const { cancelTimer } of this.requests.values()) cancelTimer();
  }

  protected override receive(message: HedgeMessage<R, S, T>): void {
    switch (message.type) {
      case 'send':
        this.sendFirst(message);
        return;
      case 'due':
        this.decide(message.number);
        return;
      case 'result':
        this.noteResult(message.number, message.copy, message.result);
        return;
      case 'cancel':
        this.cancel(message.id, message.server);
        return;
      case 'servers':
        this.policy.retain(message.serverIds, this.now());
        return;
      case 'stopping':
        this.stopping = true;
    }
  }

  private sendFirst({
    request,
    server,
    offer,
    reply,
  }: HedgeMessage<R, S, T> & { readonly type: 'send' }): void {
    const nowMs = this.now();
    const number = this.nextNumber;
    this.nextNumber += 1;
    this.policy.noteRequest(request.service, nowMs);
    this.requests.set(number, {
      number,
      request,
      offer,
      cursor: new ChartCursor(hedgedRequestChart),
      first: { server, sentMs: nowMs, result: undefined },
      second: undefined,
      reply,
      cancelTimer: () => undefined,
    });
    this.numbers.set(formatKey(request.callerRequest.id, server.serverId), number);
    this.options.send(request, server, (result) =>
      this.post({ type: 'result', number, copy: 'first', result }),
    );
    this.decide(number);
  }

  /** Sends the second copy if the request is slow, or looks again when it would be. */
  private decide(number: number): void {
    const found = this.requests.get(number);
    if (found?.cursor.state !== 'single' || this.stopping) return;
    const { request, offer, first } = found;
    const { service, dueMs } = request;
    const choice = this.policy.decide({ ...first, ...offer, service, dueMs }, this.now());
    switch (choice.kind) {
      case 'none':
        return;
      case 'wait':
        this.requests.set(number, { ...found, cancelTimer: this.scheduleDecision(number, choice.delayMs) });
        return;
      case 'denied':
        this.options.metrics.count(choice.reason === 'room' ? 'hedgesDeniedByRoom' : 'hedgesDeniedByLimit');
        return;
      case 'hedge':
        this.sendSecond(found, choice.server);
    }
  }

  private scheduleDecision(number: number, delayMs: number): () => void {
    return this.options.clock.schedule(delayMs, () => this.post({ type: 'due', number }));
  }

  private sendSecond(found: HedgedRequest<R, S, T>, server: S): void {
    const { number, request, cursor, first, offer } = found;
    const nowMs = this.now();
    cursor.send({ type: 'hedged' });
    this.requests.set(number, { ...found, second: { server, sentMs: nowMs, result: undefined } });
    this.options.metrics.count('hedges');
    this.log('hedged', {
      id: request.callerRequest.id,
      kind: offer.kind,
      first: first.server.serverId,
      peer: server.serverId,
      elapsedMs: Math.round(nowMs - first.sentMs),
    });
    this.options.send({ ...request, copy: request.copy + 1 }, server, (result) =>
      this.post({ type: 'result', number, copy: 'second', result }),
    );
  }

  private noteResult(number: number, copy: 'first' | 'second', result: T): void {
    const found = this.requests.get(number);
    const sent = found?.[copy];
    if (found === undefined || sent === undefined) return;
    const { service } = found.request;
    this.policy.noteResult({ ...sent, service, kind: found.offer.kind }, result, this.now());
    const next = { ...found, [copy]: { ...sent, result } };
    this.requests.set(number, next);
    // The other copy may still succeed.
    if (!isSuccess(result) && next.cursor.send({ type: 'copyFailed' })) return;
    this.finish(next, copy, result);
  }

  private finish(ended: HedgedRequest<R, S, T>, copy: 'first' | 'second', result: T): void {
    const { first, second, reply } = ended;
    this.remove(ended);
    if (second === undefined) {
      reply(result);
      return;
    }
    const hedge = { server: second.server, result: second.result, firstResult: first.result };
    if (!isSuccess(result)) {
      this.options.metrics.count('hedgesLost');
      reply(chooseFailure(first.result, second.result) ?? result, hedge);
      return;
    }
    if (copy === 'second') this.noteWon(ended);
    else this.options.metrics.count('hedgesLost');
    const loser = copy === 'first' ? second : first;
    if (loser.result === undefined) this.options.cancel(ended.request.callerRequest.id, loser.server);
    reply(result, hedge);
  }

  private noteWon({ request, offer, first, second }: HedgedRequest<R, S, T>): void {
    const elapsedMs = this.now() - first.sentMs;
    const gainMs = first.result === undefined ? this.policy.estimateGainMs(offer.kind, elapsedMs) : 0;
    this.options.metrics.count('hedgesWon');
    this.options.gains.record(gainMs * MICROS_PER_MS);
    this.log('hedgeWon', {
      id: request.callerRequest.id,
      kind: offer.kind,
      peer: second?.server.serverId,
      elapsedMs: Math.round(elapsedMs),
      gainMs: Math.round(gainMs),
    });
  }

  /** Cancels all copies of a request. One that was sent without an offer to hedge it is not known here. */
  private cancel(id: string, server: S): void {
    const number = this.numbers.get(formatKey(id, server.serverId));
    const found = number === undefined ? undefined : this.requests.get(number);
    if (found === undefined) {
      this.options.cancel(id, server);
      return;
    }
    this.remove(found);
    for (const copy of [found.first, found.second])
      if (copy !== undefined && copy.result === undefined) this.options.cancel(id, copy.server);
  }

  private remove({ number, request, first, cursor, cancelTimer }: HedgedRequest<R, S, T>): void {
    cancelTimer();
    cursor.send({ type: 'ended' });
    this.requests.delete(number);
    this.numbers.delete(formatKey(request.callerRequest.id, first.server.serverId));
  }

  private log(event: string, fields: Readonly<Record<string, string | number | undefined>>): void {
    const omitted = this.sampler.admit(this.now());
    if (omitted !== undefined) this.options.logger.log(event, { step: 'hedge', ...fields, omitted });
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}

function formatKey(id: string, serverId: string): string {
  return `${serverId} ${id}`;
}

function isSuccess(result: HedgeResult): boolean {
  return result.type === 'answered' && result.response.status < FIRST_ERROR_STATUS;
}

/** Chooses the result of a request whose copies both failed: a refusal only if neither copy may have run. */
function chooseFailure<T extends HedgeResult>(first: T | undefined, second: T | undefined): T | undefined {
  if (first === undefined || second === undefined) return first ?? second;
  return rank(second) > rank(first) ? second : first;
}

function rank({ type }: HedgeResult): number {
  return RESULT_RANKS.indexOf(type);
}
