/** Events of `watchChart`. */
export interface WatchEvent {
  readonly type:
    | 'listed'
    | 'changed'
    | 'failed'
    | 'historyLost'
    | 'hinted'
    | 'reconnected'
    | 'restored'
    | 'proceed'
    | 'followed'
    | 'direct';
}
