/** Next step of a transfer. */
export type MoveCommand =
  | { readonly type: 'send' }
  | { readonly type: 'write'; readonly incarnation: string }
  /** The result is in the cell: shards that are still owned may be used again. */
  | { readonly type: 'restore' };
