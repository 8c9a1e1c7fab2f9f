import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Makes the store delay its reply to each call. */
export class StoreSlowAction extends FaultAction {
  public override async inject(target: FaultTarget): Promise<void> {
    await target.setStoreSlow(true);
  }

  public override async revert(target: FaultTarget): Promise<void> {
    await target.setStoreSlow(false);
  }
}
