/** Number of recent requests from which the origins of a daemon's requests are known. */
const MIN_REQUESTS = 20;

/** Number of requests after which both counts are halved. */
const HALVE_AFTER = 400;

/** Fraction of the requests that has to come from elsewhere. */
const MIN_OUTSIDE_FRACTION = 0.1;

/**
 * Recognises calls of running work by their origin: a request that arrives at a daemon from its own VM was sent by the
 * backend server there. Where nearly all requests seem to come from the VM, such as behind an address translation, origins
 * tell nothing.
 */
export class CallOrigin {
  private total = 0;
  private outside = 0;

  /** Counts a request, and returns whether it is known to be a call of running work. */
  public note(isFromOwnVm: boolean): boolean {
    this.total += 1;
    if (!isFromOwnVm) this.outside += 1;
    if (this.total >= HALVE_AFTER) {
      this.total /= 2;
      this.outside /= 2;
    }
    return isFromOwnVm && this.total >= MIN_REQUESTS && this.outside >= this.total * MIN_OUTSIDE_FRACTION;
  }
}
