import type { Entry } from '#catalogue/Entry.js';
import type { Service } from '#catalogue/Service.js';

/** The catalogue entry and service that apply to a request. */
export interface CheckedRequest {
  readonly entry: Entry;
  readonly service: Service;
  /** Whether only the owner of the key may run the request. */
  readonly needsOwnership: boolean;
}
