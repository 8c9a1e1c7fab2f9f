import type { BalanceFacts } from '#mesh/BalanceFacts.js';
import type { LeaseFacts } from '#mesh/LeaseFacts.js';
import type { LoadReport } from '#mesh/LoadReport.js';
import type { MeshView } from '#mesh/MeshView.js';

/** Messages of `BalanceTask`. */
export type BalanceMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'facts'; readonly facts: LeaseFacts }
  | { readonly type: 'load'; readonly load: LoadReport; readonly baseSlowdown: number }
  /** Another daemon asks for the load of this one. */
  | { readonly type: 'asked'; readonly reply: (facts: BalanceFacts) => void }
  /** Answer of another daemon, undefined if it cannot be reached. */
  | { readonly type: 'answered'; readonly value: unknown };
