import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from '#core/BodyBudget.js';
import { BodyBuffer } from '#core/BodyBuffer.js';
import type { BodyFault } from '#core/BodyFault.js';
import type { CallerBodySignal } from '#mesh/CallerBodySignal.js';

/** Reads the body of one caller's request. */
export class CallerBodyReader {
  private readonly body: BodyBuffer;
  private readonly signal: (signal: CallerBodySignal) => void;
  private discards = false;

  /** The memory of the body is accounted to `budget`. */
  public constructor(
    req: IncomingMessage,
    limitBytes: number,
    budget: BodyBudget,
    signal: (signal: CallerBodySignal) => void,
  ) {
    this.body = new BodyBuffer(limitBytes, budget);
    this.signal = signal;
    req.on('data', (chunk: Buffer) => this.add(chunk));
    req.on('end', () => this.end());
    req.on('close', () => this.discard());
    // The 'close' event of the connection follows and ends the exchange.
    req.on('error', () => undefined);
    if (Number(req.headers['content-length'] ?? 0) > limitBytes) this.fail('tooLarge');
  }

  /** Frees the memory of what was read; the rest of the body is read and dropped. */
  public discard(): void {
    this.discards = true;
    this.body.discard();
  }

  private add(chunk: Buffer): void {
    if (this.discards) return;
    const fault = this.body.add(chunk);
    if (fault !== undefined) this.fail(fault);
  }

  private fail(fault: BodyFault): void {
    this.discard();
    this.signal({ type: 'fault', fault });
  }

  private end(): void {
    this.signal(this.discards ? { type: 'discarded' } : { type: 'complete', body: this.body.hold() });
  }
}
