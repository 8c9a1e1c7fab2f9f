/** Kinds of faults that a plan can hold. */
export type FaultName =
  | 'killDaemon'
  | 'killBackend'
  | 'killVm'
  | 'freezeDaemon'
  | 'loseDomain'
  | 'storeDown'
  | 'storeSlow'
  | 'loseReplies';
