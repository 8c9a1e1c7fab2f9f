import { DomainLossAction } from '#load/DomainLossAction.js';
import type { FaultAction } from '#load/FaultAction.js';
import type { FaultName } from '#load/FaultName.js';
import { FreezeAction } from '#load/FreezeAction.js';
import { KillAction } from '#load/KillAction.js';
import { LostRepliesAction } from '#load/LostRepliesAction.js';
import { StoreOutageAction } from '#load/StoreOutageAction.js';
import { StoreSlowAction } from '#load/StoreSlowAction.js';

/** Actions by kind of fault. */
export const faultActions: Readonly<Record<FaultName, FaultAction>> = Object.freeze({
  killDaemon: new KillAction('daemon'),
  killBackend: new KillAction('backend'),
  killVm: new KillAction('vm'),
  freezeDaemon: new FreezeAction(),
  loseDomain: new DomainLossAction(),
  storeDown: new StoreOutageAction(),
  storeSlow: new StoreSlowAction(),
  loseReplies: new LostRepliesAction(),
});
