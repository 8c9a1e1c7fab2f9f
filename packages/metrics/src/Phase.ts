/**
 * A measured duration of a request: the time in the owner's queue, the time at the backend server, the whole time from
 * the arrival of its head to its outcome, and the whole time of only those requests that met their deadline.
 */
export type Phase = 'queue' | 'backend' | 'whole' | 'deliveredInTime';
