/**
 * An activity that owns its sockets, timers and state, and is reached only by messages of type `M`.
 * Messages are handled one after another in the order in which they were posted.
 */
export abstract class Task<M> {
  private mailbox: M[] = []; // eslint-disable-line no-restricted-syntax -- private queue of the hot path
  private scheduled = false;
  private stopped = false;

  /** Adds a message to the mailbox; messages posted after `stop` are dropped. */
  public post(message: M): void {
    if (this.stopped) return;
    this.mailbox.push(message);
    if (this.scheduled) return;
    this.scheduled = true;
    queueMicrotask(() => this.drain());
  }

  /** Posts the message that `build` makes from a reply function, and resolves with the reply. */
  public ask<R>(build: (reply: (value: R) => void) => M): Promise<R> {
    return new Promise((resolve) => this.post(build(resolve)));
  }

  /** Stops handling messages. Subclasses close their sockets and timers. */
  public stop(): void {
    this.stopped = true;
    this.mailbox = [];
  }

  /** Handles one message. */
  protected abstract receive(message: M): void;

  private drain(): void {
    this.scheduled = false;
    const batch = this.mailbox;
    this.mailbox = [];
    for (const message of batch) {
      if (this.stopped) return;
      this.receive(message);
    }
  }
}
