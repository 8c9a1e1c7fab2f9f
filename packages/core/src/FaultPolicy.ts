import { describeFault } from '#core/DescribeFault.js';
import { Logger } from '#core/Logger.js';
import { LogSampler } from '#core/LogSampler.js';
import type { TaskFault } from '#core/TaskFault.js';

const MAX_LINES_PER_SECOND = 10;

/** Determines what a task does after the handling of a message threw, which is a programming error. */
export abstract class FaultPolicy {
  private readonly logger: Logger;
  private readonly sampler = new LogSampler(MAX_LINES_PER_SECOND);

  public constructor(logger: Logger = new Logger('task')) {
    this.logger = logger;
  }

  /** Logs the fault, at a limited rate, and acts on it. */
  public handle(fault: TaskFault): void {
    const { task, messageType, err } = fault;
    const omitted = this.sampler.admit(performance.now());
    if (omitted !== undefined)
      this.logger.log('messageFailed', { ...describeFault(err), task, type: messageType, omitted });
    this.act(fault);
  }

  protected abstract act(fault: TaskFault): void;
}
