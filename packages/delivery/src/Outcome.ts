/** How an admitted or refused request ended; each is counted per team and class. */
export type Outcome =
  'delivered' | 'late' | 'partial' | 'sentUnconfirmed' | 'abandoned' | 'refused' | 'failed' | 'unknown';
