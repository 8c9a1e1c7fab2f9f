/** Next step of a suspicion. */
export type SuspicionCommand = 'askWitnesses' | 'probe' | 'report';
