import { Left, Right, type Either } from 'purify-ts';
import { RouterError } from '#core/RouterError.js';
import { computeMac } from '#rpc/ComputeMac.js';
import { isSameMac } from '#rpc/IsSameMac.js';
import { maxMessageAgeMs } from '#rpc/MaxMessageAgeMs.js';

/** Verifies a signature of `signHop`. Returns the signing time, or an error with code `hopRejected` and status 403. */
export function verifyHop(
  fleetKey: string,
  fields: string,
  signature: string,
  wallMs: number,
): Either<RouterError, number> {
  const [time = '', hex = ''] = signature.split('.', 2);
  const sentAtMs = Number(time);
  const expected = computeMac(fleetKey, `hop\n${time}\n${fields}`);
  if (!isSameMac(Buffer.from(hex, 'hex'), expected)) return Left(createError('wrong signature'));
  if (Math.abs(wallMs - sentAtMs) > maxMessageAgeMs)
    return Left(createError('signing time too far from the current time'));
  return Right(sentAtMs);
}

function createError(message: string): RouterError {
  return new RouterError(
    { code: 'hopRejected', step: 'forward', peer: '', ran: 'not run', status: 403 },
    message,
  );
}
