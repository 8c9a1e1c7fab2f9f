/** Counters of a daemon that are not split by team. The set is fixed, so that the number of series stays bounded. */
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
  | 'catalogueChanges'
  | 'storeRestores';
