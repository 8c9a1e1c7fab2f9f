/** Events of the chart of a caller's request. */
export interface MeshExchangeEvent {
  readonly type: 'offered' | 'waited' | 'refused' | 'lost' | 'viewChanged' | 'retried' | 'ended' | 'left';
}
