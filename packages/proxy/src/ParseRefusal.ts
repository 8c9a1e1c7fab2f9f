import type { RouterErrorFields } from '#core/RouterErrorFields.js';

/** Parses the JSON body of a refusal by another daemon. If it is malformed, the request counts as possibly run. */
export function parseRefusal(text: string, peer: string, status: number): RouterErrorFields {
  const unknown: RouterErrorFields = {
    code: 'badRefusal',
    step: 'forward',
    peer,
    ran: 'unknown',
    status: 502,
  };
  try {
    const value = JSON.parse(text) as Partial<RouterErrorFields> & { readonly error?: string };
    if (typeof value.error !== 'string' || value.ran === undefined || value.step === undefined)
      return unknown;
    return {
      code: value.error,
      step: value.step,
      peer: value.peer ?? peer,
      ran: value.ran,
      status,
      ...(value.retryAfterMs === undefined ? {} : { retryAfterMs: value.retryAfterMs }),
      ...(value.at === undefined ? {} : { at: value.at }),
      ...(value.epoch === undefined ? {} : { epoch: value.epoch }),
    };
  } catch {
    return unknown;
  }
}
