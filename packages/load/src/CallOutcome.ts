/** How a call ended for its caller; `late` is a good response after the deadline. */
export type CallOutcome = 'ok' | 'late' | 'corrupt' | 'refused' | 'failed' | 'unknown';
