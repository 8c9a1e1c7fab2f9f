import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** The store answers each call late. */
export class StoreSlowAction extends FaultAction {
  public override async inject(target: FaultTarget): Promise<void> {
    await target.setStoreSlow(true);
  }

  public override async lift(target: FaultTarget): Promise<void> {
    await target.setStoreSlow(false);
  }
}
