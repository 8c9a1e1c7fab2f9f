/** Result of an operator's change. `conflict` names the version that won and its author. */
export type PutOutcome =
  | { readonly type: 'accepted'; readonly version: number }
  | { readonly type: 'conflict'; readonly version: number; readonly author: string }
  | { readonly type: 'undecided' };
