import type { ServerResponse } from 'node:http';
import { Either } from 'purify-ts';
import type { Logger } from '#core/Logger.js';
import type { CallerReply } from '#mesh/CallerReply.js';
import type { HeaderNames } from '#mesh/HeaderNames.js';
import { writeCallerReply } from '#mesh/WriteCallerReply.js';

/** Reply to a request whose response cannot be written; it may have run. */
const INVALID_REPLY: CallerReply = { type: 'refusal', status: 502, code: 'badAnswer', retryAfterMs: 0 };

interface WriteOptions {
  readonly names: HeaderNames;
  /** Whether the connection is closed after the reply. */
  readonly closes: boolean;
  readonly logger: Logger;
}

/** Writes a reply, or another one if it has a header that `node:http` refuses to write. */
export function tryWriteCallerReply(
  res: ServerResponse,
  reply: CallerReply,
  requestId: string,
  { names, closes, logger }: WriteOptions,
): void {
  Either.encase(() => writeCallerReply(res, reply, requestId, names, closes)).ifLeft((err) => {
    logger.log('replyInvalid', { step: 'deliver', id: requestId, message: err.message });
    writeCallerReply(res, INVALID_REPLY, requestId, names, closes);
  });
}
