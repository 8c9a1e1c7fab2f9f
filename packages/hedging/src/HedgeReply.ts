import type { SecondCopy } from '#hedging/SecondCopy.js';

/** Receives the result of a request, and its second copy if it was hedged; called once. */
export type HedgeReply<S, T> = (result: T, second?: SecondCopy<S, T>) => void;
