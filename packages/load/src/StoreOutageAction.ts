import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Makes the store close each connection without a reply. */
export class StoreOutageAction extends FaultAction {
  public override async inject(target: FaultTarget): Promise<void> {
    await target.setStoreDown(true);
  }

  public override async revert(target: FaultTarget): Promise<void> {
    await target.setStoreDown(false);
  }
}
