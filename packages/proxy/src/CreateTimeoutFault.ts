import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { OpenExchange } from '#proxy/OpenExchange.js';

/** Creates the error of an exchange whose deadline passed before the response began. */
export function createTimeoutFault({ attempt, delivery }: OpenExchange, serverId: string): RouterErrorFields {
  const peer = attempt.target?.member.serverId ?? serverId;
  const ran = delivery.context.requestSent ? 'unknown' : 'not run';
  return { code: 'deadlineExceeded', step: 'deliver', peer, ran, status: 504 };
}
