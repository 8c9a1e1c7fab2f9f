import type { Socket } from 'node:net';
import { ConnectionLimit } from '#connection/ConnectionLimit.js';
import { HeadBytes } from '#connection/HeadBytes.js';
import type { Cancel } from '#core/Cancel.js';
import { LogSampler } from '#core/LogSampler.js';
import type { CallerOptions } from '#mesh/CallerOptions.js';

/** Interval at which connections that send bytes without a request are looked for, in milliseconds. */
const HEAD_CHECK_INTERVAL_MS = 1_000;

const MAX_LINES_PER_SECOND = 5;

/**
 * Ends connections of callers that exceed the capacity of the daemon: for a new connection the one that has been idle for longest,
 * and those that send bytes without a request.
 */
export class CallerGuard {
  private readonly options: CallerOptions;
  private readonly onCheckDue: () => void;
  private readonly limit: ConnectionLimit<Socket>;
  private readonly heads: HeadBytes;
  private readonly sampler = new LogSampler(MAX_LINES_PER_SECOND);
  private cancelCheck: Cancel | undefined;

  /** `onCheckDue` is called when `checkHeads` is to be called. */
  public constructor(options: CallerOptions, onCheckDue: () => void) {
    this.options = options;
    this.onCheckDue = onCheckDue;
    this.limit = new ConnectionLimit(options.capacity.maxConnections);
    this.heads = new HeadBytes(options.capacity.maxHeadBytes);
  }

  public stop(): void {
    this.cancelCheck?.();
  }

  /** Adds an accepted connection, for which another one, or it itself, may end. */
  public add(socket: Socket): void {
    const victim = this.limit.add(socket);
    if (victim !== undefined) this.end(victim, 'connections');
    this.scheduleCheck();
  }

  public remove(socket: Socket): void {
    this.limit.remove(socket);
  }

  /** Notes that a request was read on a connection. */
  public noteBusy(socket: Socket): void {
    this.limit.noteBusy(socket);
  }

  /** Notes that a connection has no open request any longer. */
  public noteIdle(socket: Socket): void {
    this.limit.noteIdle(socket);
    this.heads.noteIdle(socket);
  }

  /** Notes that a head over the limit was refused. */
  public noteHeadRefused(socket: Socket): void {
    this.report('callerHeadRefused', socket, 'headBytes');
  }

  /**
   * Ends connections that have sent more bytes than a head may have, and no request. What an ended connection still sends is
   * discarded for a limited time; to destroy it earlier would reset it, and a reset destroys the response before.
   */
  public checkHeads(): void {
    this.cancelCheck = undefined;
    for (const socket of this.limit.listQuiet())
      if (!socket.writableEnded && this.heads.isExceeded(socket)) this.end(socket, 'headBytes');
    this.scheduleCheck();
  }

  private scheduleCheck(): void {
    if (this.cancelCheck !== undefined || this.limit.size === 0) return;
    this.cancelCheck = this.options.clock.schedule(HEAD_CHECK_INTERVAL_MS, this.onCheckDue);
  }

  private end(socket: Socket, reason: string): void {
    this.limit.remove(socket);
    this.report('callerConnectionEnded', socket, reason);
    socket.destroy();
  }

  private report(event: string, socket: Socket, reason: string): void {
    const { metrics, logger, clock } = this.options;
    metrics.count('callersOutsideLimits');
    const omitted = this.sampler.admit(clock.monotonicMs());
    if (omitted === undefined) return;
    const peer = socket.remoteAddress ?? '';
    logger.log(event, { step: 'parse', peer, reason, connections: this.limit.size, omitted });
  }
}
