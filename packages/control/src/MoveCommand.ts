/** Commands of charts/move.json. */
export type MoveCommand =
  | { readonly type: 'send' }
  | { readonly type: 'write'; readonly incarnation: string }
  /** The transfer has ended: shards that this daemon still owns may be used again. */
  | { readonly type: 'restore' };
