/** Commands of charts/suspicion.json. */
export type SuspicionCommand = 'askWitnesses' | 'probe' | 'report';
