/**
 * What the result of a request says about its server: it responded, it failed, it had no room, or nothing is known because
 * the request was cancelled.
 */
export type ResultKind = 'success' | 'failure' | 'noRoom' | 'unknown';
