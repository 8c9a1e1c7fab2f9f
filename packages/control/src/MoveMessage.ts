import type { Cell } from '#assignment/Cell.js';
import type { RecordedMove } from '#assignment/RecordedMove.js';
import type { HandoverResponse } from '#control/HandoverResponse.js';
import type { HandoverCall } from '#control/HandoverCall.js';
import type { Intent } from '#control/Intent.js';
import type { MoveEvent } from '#control/MoveEvent.js';
import type { ShardLoads } from '#control/ShardLoads.js';

/** Requests and updates for the task that moves shards between members. */
export type MoveMessage =
  | { readonly type: 'start'; readonly incarnation: string }
  | { readonly type: 'cell'; readonly cell: Cell }
  | { readonly type: 'intent'; readonly intent: Intent }
  /** Load of the shards of one member, which may be this daemon. */
  | { readonly type: 'load'; readonly serverId: string; readonly loads: ShardLoads }
  | { readonly type: 'handover'; readonly call: HandoverCall; readonly from: string; readonly reply: Reply }
  | { readonly type: 'transfer'; readonly transferId: number; readonly event: MoveEvent }
  | { readonly type: 'moves'; readonly reply: (moves: readonly RecordedMove[]) => void }
  | { readonly type: 'tick' };

type Reply = (response: HandoverResponse | undefined) => void;
