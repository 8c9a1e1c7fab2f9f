/** Reason why a request was refused without being run. */
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
  | 'displaced'
  | 'noCapacity'
  | 'tooLate'
  | 'quarantined'
  | 'shed'
  | 'misdirected'
  | 'stopping';
