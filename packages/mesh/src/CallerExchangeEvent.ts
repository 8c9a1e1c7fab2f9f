/** Events of `callerExchangeChart`. */
export interface CallerExchangeEvent {
  readonly type: 'read' | 'refused' | 'replied' | 'flushed' | 'bodyEnded' | 'closed';
}
