import type { CallerCapacity } from '#connection/CallerCapacity.js';
import type { Logger } from '#core/Logger.js';
import { maxBodyBytes } from '#mesh/MaxBodyBytes.js';
import type { CallerLimits } from '#routes/CallerLimits.js';

/** Logs the limits of the configuration that exceed those of the daemon, which are the ones in force. */
export function reportReducedLimits(
  limits: CallerLimits,
  { maxHeadBytes }: CallerCapacity,
  logger: Logger,
): void {
  if (limits.maxBodyBytes > maxBodyBytes)
    logger.log('bodyLimitReduced', { step: 'parse', configured: limits.maxBodyBytes, limit: maxBodyBytes });
  if (limits.maxHeaderBytes > maxHeadBytes)
    logger.log('headLimitReduced', { step: 'parse', configured: limits.maxHeaderBytes, limit: maxHeadBytes });
}
