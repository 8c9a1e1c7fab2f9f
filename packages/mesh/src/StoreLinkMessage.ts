import type { ProbedConnection } from '#store/ProbedConnection.js';

/** Timers and results of probes that `StoreLinkTask` handles. */
export type StoreLinkMessage =
  | { readonly type: 'due' }
  /** This daemon no longer reads the store itself, or does so again. */
  | { readonly type: 'pause' | 'resume' }
  /** The probe has waited for its response for the time after which a second connection is tried. */
  | { readonly type: 'silent'; readonly round: number }
  | {
      readonly type: 'probed';
      readonly round: number;
      readonly connection: ProbedConnection;
      readonly answered: boolean;
    };
