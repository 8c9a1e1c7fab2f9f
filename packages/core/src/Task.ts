import { ExitOnFault } from '#core/ExitOnFault.js';
import type { FaultPolicy } from '#core/FaultPolicy.js';

const defaultFaultPolicy = new ExitOnFault();

/**
 * Actor that owns its sockets, timers and state, and receives messages of type `M`. Messages are handled one at a time,
 * in the order in which they were posted.
 */
export abstract class Task<M> {
  private mailbox: M[] = []; // eslint-disable-line no-restricted-syntax -- private queue of the hot path
  private scheduled = false;
  private stopped = false;
  private faultPolicy: FaultPolicy = defaultFaultPolicy;

  /** Adds a message to the mailbox; messages posted after `stop` are dropped. */
  public post(message: M): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (this.scheduled) return;
    this.scheduled = true;
    queueMicrotask(() => this.handleBatch());
  }

  /** Posts a message that carries a reply function, and resolves with the reply. */
  public ask<R>(build: (reply: (value: R) => void) => M): Promise<R> {
    return new Promise((resolve) => this.post(build(resolve)));
  }

  /** Stops handling messages. Subclasses close their sockets and timers. */
  public stop(): void {
    this.stopped = true;
    this.mailbox = [];
  }

  /** Sets what happens after the handling of a message threw. By default, the process ends. */
  public setFaultPolicy(policy: FaultPolicy): void {
    this.faultPolicy = policy;
  }

  /** Handles one message. */
  protected abstract receive(message: M): void;

  private handleBatch(): void {
    this.scheduled = false;
    const batch = this.mailbox;
    this.mailbox = [];
    for (const message of batch) {
      if (this.stopped) return;
      this.receiveGuarded(message);
    }
  }

  private receiveGuarded(message: M): void {
    try {
      this.receive(message);
    } catch (err) {
      this.faultPolicy.handle({ task: this.constructor.name, messageType: readType(message), err });
    }
  }
}

function readType(message: unknown): string {
  const type: unknown = (message as { readonly type?: unknown } | null | undefined)?.type;
  return typeof type === 'string' ? type : '';
}
