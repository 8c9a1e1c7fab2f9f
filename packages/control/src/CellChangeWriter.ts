import type { CellChange } from '#control/CellChange.js';
import type { CellOutcome } from '#control/CellOutcome.js';
import { CellWriter } from '#control/CellWriter.js';
import type { ControlContext } from '#control/ControlContext.js';
import type { StoreHealthTracker } from '#control/StoreHealthTracker.js';
import type { PendingWrite } from '#store/PendingWrite.js';

/** Writes cell changes, logs each result, and records whether the store was reachable. */
export class CellChangeWriter {
  private readonly writer: CellWriter;
  private isStopped = false;

  /** `writer` is unique to this run of the process. */
  public constructor(
    private readonly context: ControlContext,
    writer: string,
    private readonly health: StoreHealthTracker,
    private readonly onOutcome: (outcome: CellOutcome) => void,
  ) {
    this.writer = new CellWriter(context.store, writer);
  }

  /** Keeps `writeUntilSettled` from starting further attempts. */
  public stop(): void {
    this.isStopped = true;
  }

  /** Writes a change, and passes its result to `onOutcome` before the promise resolves. */
  public async write(change: CellChange): Promise<CellOutcome> {
    const { service, index, apply, pending } = change;
    const outcome = await this.writer.update(service, index, apply, pending);
    this.health.noteWrite(outcome, this.context.clock.monotonicMs());
    this.log(change, outcome);
    this.onOutcome(outcome);
    return outcome;
  }

  /** Repeats a write until it is known whether the store accepted it; undefined if `stop` was called before. */
  public async writeUntilSettled(change: CellChange): Promise<CellOutcome | undefined> {
    let pending: readonly PendingWrite[] = [];
    while (!this.isStopped) {
      const outcome = await this.write({ ...change, pending });
      if (outcome.type !== 'undecided') return outcome;
      pending = outcome.pending;
      const pauseMs = this.health.retryDelayMs();
      await new Promise<void>((resolve) => this.context.clock.schedule(pauseMs, resolve));
    }
    return undefined;
  }

  private log({ changeName, peer = '' }: CellChange, outcome: CellOutcome): void {
    const version = 'cell' in outcome ? outcome.cell?.version : undefined;
    const code = outcome.type === 'failed' ? outcome.code : undefined;
    const fields = { step: 'store', peer, change: changeName, outcome: outcome.type, version, code } as const;
    this.context.logger.log('cellWrite', fields);
  }
}
