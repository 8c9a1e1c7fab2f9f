import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

/** Creates the fault of an exchange whose deadline passed before its answer began. */
export function createTimeoutFault({ attempt, delivery }: OpenExchange, serverId: string): RouterErrorFields {
  const peer = attempt.target?.member.serverId ?? serverId;
  const ran = delivery.context.orderSent ? 'unknown' : 'not run';
  return { code: 'deadlineExceeded', step: 'deliver', peer, ran, status: 504 };
}
