import { FaultAction } from '#load/FaultAction.js';
import type { FaultTarget } from '#load/FaultTarget.js';

/** Accepted changes whose replies are lost while the fault lasts. */
const LOST_REPLIES = 3;

/** The store makes changes but loses the replies. */
export class LostRepliesAction extends FaultAction {
  public override async inject(target: FaultTarget): Promise<void> {
    await target.loseReplies(LOST_REPLIES);
  }

  public override async lift(target: FaultTarget): Promise<void> {
    await target.loseReplies(0);
  }
}
