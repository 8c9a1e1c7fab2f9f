/** A caller sent one attempt of a request. */
export interface SendEvent {
  readonly type: 'send';
  readonly requestId: string;
  readonly attempt: number;
  readonly team: string;
  readonly repeatable: boolean;
  readonly atMs: number;
}
