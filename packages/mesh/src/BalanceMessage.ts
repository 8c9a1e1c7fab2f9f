import type { OwnerLoadReport } from '#mesh/OwnerLoadReport.js';
import type { LeaseReport } from '#mesh/LeaseReport.js';
import type { LoadReport } from '#balance/LoadReport.js';
import type { MeshView } from '#mesh/MeshView.js';

/** State changes, load reports and calls of other daemons that `BalanceTask` handles. */
export type BalanceMessage =
  | { readonly type: 'view'; readonly view: MeshView }
  | { readonly type: 'facts'; readonly facts: LeaseReport }
  | { readonly type: 'load'; readonly load: LoadReport; readonly baseSlowdown: number }
  /** Another daemon requests this one's load. */
  | { readonly type: 'asked'; readonly reply: (facts: OwnerLoadReport) => void }
  /** Reply of another daemon to a survey; undefined if it cannot be reached. */
  | { readonly type: 'answered'; readonly value: unknown };
