import { Left, Right, type Either } from 'purify-ts';
import { findEntry } from '#catalogue/FindEntry.js';
import type { RouterErrorFields } from '#core/RouterErrorFields.js';
import type { CheckedRequest } from '#proxy/CheckedRequest.js';
import { listAddresses } from '#proxy/ListAddresses.js';
import type { RequestHead } from '#proxy/RequestHead.js';
import type { RoutingView } from '#proxy/RoutingView.js';

const CATALOGUE_RETRY_AFTER_MS = 500;

/**
 * Checks the head of a request against the catalogue before any of its body is read. Outside the home regions of its
 * entry the request is refused, and the refusal lists addresses of daemons inside them.
 */
export function checkRequest(
  view: RoutingView,
  head: RequestHead,
  region: string,
): Either<RouterErrorFields, CheckedRequest> {
  const { index } = view;
  if (index === undefined)
    return refuse('noCatalogue', 'catalogue', 503, { retryAfterMs: CATALOGUE_RETRY_AFTER_MS });
  const service = index.services.get(head.service);
  if (service === undefined) return refuse('unknownService', 'catalogue', 404);
  const entry = findEntry(index, head.team, head.service, head.class);
  if (entry === undefined) return refuse('noEntry', 'catalogue', 403);
  if (entry.homeRegions.length > 0 && !entry.homeRegions.includes(region)) {
    const at = listAddresses(view, head.service, entry.homeRegions);
    return refuse('outsideHomeRegions', 'region', 421, { at });
  }
  if (head.contentLength > entry.limits.maxBodyBytes) return refuse('bodyTooLarge', 'parse', 413);
  const needsOwnership = service.keyed || !entry.repeatable;
  if (needsOwnership && head.key === '') return refuse('keyRequired', 'parse', 400);
  if (!entry.repeatable && head.idempotencyKey === '') return refuse('idempotencyKeyRequired', 'parse', 400);
  return Right({ entry, service, needsOwnership });
}

function refuse(
  code: string,
  step: RouterErrorFields['step'],
  status: number,
  more: Partial<RouterErrorFields> = {},
): Either<RouterErrorFields, CheckedRequest> {
  return Left({ code, step, peer: '', ran: 'not run', status, ...more });
}
