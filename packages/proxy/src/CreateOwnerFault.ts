import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { OwnerFaultKind } from '#proxy/OwnerFaultKind.js';

const MOVE_RETRY_AFTER_MS = 50;

type Fault = Required<Pick<RouterErrorFields, 'code' | 'step' | 'status' | 'retryAfterMs'>>;

const FAULTS: Readonly<Record<OwnerFaultKind, Fault>> = {
  notOwner: { code: 'notOwner', step: 'own', status: 421, retryAfterMs: MOVE_RETRY_AFTER_MS },
  shardReleased: { code: 'shardMoving', step: 'own', status: 503, retryAfterMs: MOVE_RETRY_AFTER_MS },
  releasedInQueue: { code: 'shardMoving', step: 'move', status: 503, retryAfterMs: MOVE_RETRY_AFTER_MS },
  leaseExpired: { code: 'leaseExpired', step: 'own', status: 503, retryAfterMs: MOVE_RETRY_AFTER_MS },
  callerGone: { code: 'callerGone', step: 'queue', status: 499, retryAfterMs: 0 },
};

/** Creates the error of a request that the owner task refuses or removes from its queue. */
export function createOwnerFault(kind: OwnerFaultKind, serverId: string): RouterErrorFields {
  const { code, step, status, retryAfterMs } = FAULTS[kind];
  return { code, step, peer: serverId, ran: 'not run', status, retryAfterMs };
}
