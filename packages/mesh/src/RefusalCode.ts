/** Why an order did not run. */
export type RefusalCode =
  | 'unreachable'
  | 'noServer'
  | 'draining'
  | 'evacuated'
  | 'notOwner'
  | 'notGranted'
  | 'cold'
  | 'full'
  | 'tooLate'
  | 'quarantined'
  | 'shed'
  | 'misdirected'
  | 'stopping';
