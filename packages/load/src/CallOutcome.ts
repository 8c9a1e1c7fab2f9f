/** Result of a call for its caller; `late` is a correct response after the deadline. */
export type CallOutcome = 'ok' | 'late' | 'corrupt' | 'refused' | 'failed' | 'unknown';
