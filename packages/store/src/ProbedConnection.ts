/** Connection on which the store is probed: the one that earlier probes used, or a new one. */
export type ProbedConnection = 'kept' | 'new';
