/**
 * Why a run of a backend server is not used any longer. None of these proves that it no longer holds its keys.
 *
 * - `left`: it said that it leaves. It may go on announcing itself, and work on its last requests.
 * - `replaced`: a later run announced itself.
 * - `unreachable`: connections to it were refused, or it does not respond.
 */
export type EndOfUse = 'left' | 'replaced' | 'unreachable';
