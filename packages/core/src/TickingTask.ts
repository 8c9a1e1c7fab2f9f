import type { Cancel } from '#core/Cancel.js';
import type { Clock } from '#core/Clock.js';
import { Task } from '#core/Task.js';

interface Tick {
  readonly type: 'tick';
}

/** A task with a timer that posts the message `tick` to the task. */
export abstract class TickingTask<M> extends Task<M | Tick> {
  private cancelTimer: Cancel = () => undefined;

  public constructor(protected readonly clock: Clock) {
    super();
  }

  public override stop(): void {
    super.stop();
    this.cancelTick();
  }

  /** Posts one tick after `delayMs`; replaces a tick that is already scheduled. */
  protected scheduleTick(delayMs: number): void {
    this.cancelTick();
    this.cancelTimer = this.clock.schedule(delayMs, () => this.post({ type: 'tick' }));
  }

  /** Posts a tick every `periodMs` until the task stops. */
  protected scheduleTicks(periodMs: number): void {
    this.cancelTimer = this.clock.schedule(periodMs, () => {
      this.post({ type: 'tick' });
      this.scheduleTicks(periodMs);
    });
  }

  protected cancelTick(): void {
    this.cancelTimer();
  }
}
