/** Why an order did not run. */
export type RefusalCode =
  | 'unreachable'
  | 'noServer'
  | 'otherService'
  | 'draining'
  | 'evacuated'
  | 'notOwner'
  | 'moving'
  | 'notGranted'
  | 'cold'
  | 'full'
  | 'tooLate'
  | 'quarantined'
  | 'shed'
  | 'misdirected'
  | 'stopping';
