import { describeFault } from '#core/DescribeFault.js';
import { Logger } from '#core/Logger.js';
import { LogSampler } from '#core/LogSampler.js';
import type { TaskFault } from '#core/TaskFault.js';

const LINES_PER_SECOND = 10;

/** What a task does after a message whose handling threw, which is a programming error. */
export abstract class FaultPolicy {
  private readonly logger: Logger;
  private readonly sampler = new LogSampler(LINES_PER_SECOND);

  public constructor(logger: Logger = new Logger('task')) {
    this.logger = logger;
  }

  /** Logs the fault and acts on it. */
  public handle(fault: TaskFault): void {
    const { task, message, err } = fault;
    const omitted = this.sampler.admit(performance.now());
    if (omitted !== undefined)
      this.logger.log('messageFailed', { ...describeFault(err), task, type: message, omitted });
    this.act(fault);
  }

  protected abstract act(fault: TaskFault): void;
}
