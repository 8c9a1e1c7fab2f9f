/** Kinds of faults that a plan can contain. */
export type FaultName =
  | 'killDaemon'
  | 'killBackend'
  | 'killVm'
  | 'freezeDaemon'
  | 'loseDomain'
  | 'storeDown'
  | 'storeSlow'
  | 'loseReplies';
