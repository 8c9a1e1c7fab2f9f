import type { Entry } from '#catalogue/Entry.js';
import type { Service } from '#catalogue/Service.js';

/** The catalogue's rules for a request. */
export interface CheckedRequest {
  readonly entry: Entry;
  readonly service: Service;
  /** Whether only the owner of the request's key may run it. */
  readonly needsOwnership: boolean;
}
