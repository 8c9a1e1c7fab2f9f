import type { BodyFault } from '#core/BodyFault.js';

/**
 * Why a request is refused before its body has arrived: a limit, bytes that break the protocol, its deadline, or the
 * shutdown of the daemon.
 */
export type CallerBodyFault = BodyFault | 'malformed' | 'timeout' | 'stopping';
