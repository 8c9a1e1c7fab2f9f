/** Events of a caller's request at the daemon that received it. */
export interface MeshExchangeEvent {
  readonly type: 'offered' | 'waited' | 'refused' | 'lost' | 'viewChanged' | 'retried' | 'ended' | 'left';
}
