import type { IncomingMessage } from 'node:http';
import type { Logger } from '#core/Logger.js';

/** Drops a request that was sent behind the last one of its connection, and reads the rest of its body. */
export function ignoreRequest(req: IncomingMessage, idHeader: string, logger: Logger): void {
  const id = req.headers[idHeader.toLowerCase()]?.toString() ?? '';
  logger.log('requestIgnored', { step: 'parse', id, cut: req.socket.destroyed });
  req.resume();
}
