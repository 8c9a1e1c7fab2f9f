/**
 * A measured part of a request: time in the owner's queue, time at the backend server, whole time from the head of the
 * request to its outcome, and whole time of the requests that were delivered before their deadline.
 */
export type Phase = 'queue' | 'backend' | 'whole' | 'deliveredInTime';
