/** Events of a daemon that are counted without regard to teams. The set is fixed, so that labels stay bounded. */
export type CounterName =
  | 'storeCalls'
  | 'storeFailures'
  | 'controlBytesSent'
  | 'renewalsGranted'
  | 'renewalsLost'
  | 'takeovers'
  | 'plannedMoves'
  | 'hotKeyMoves'
  | 'retries'
  | 'hedges'
  | 'held'
  | 'misdirected'
  | 'arrivalsLeft'
  | 'arrivalsRefused'
  | 'catalogueChanges';
