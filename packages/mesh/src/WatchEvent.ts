/** Events of the chart of one watched collection. */
export interface WatchEvent {
  readonly type: 'listed' | 'changed' | 'failed' | 'historyLost' | 'hinted' | 'proceed';
}
