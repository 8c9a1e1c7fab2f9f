import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Highest number of replies that the store drops while the fault lasts. */
const MAX_LOST_REPLIES = 3;

/** Makes the store apply changes but drop its replies. */
export class LostRepliesAction extends FaultAction {
  public override async inject(target: FaultTarget): Promise<void> {
    await target.loseReplies(MAX_LOST_REPLIES);
  }

  public override async revert(target: FaultTarget): Promise<void> {
    await target.loseReplies(0);
  }
}
