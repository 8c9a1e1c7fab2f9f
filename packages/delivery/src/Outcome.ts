/** How a request ended. The outcomes are counted by team and class. */
export type Outcome =
  'delivered' | 'late' | 'partial' | 'sentUnconfirmed' | 'abandoned' | 'refused' | 'failed' | 'unknown';
