/** A failure domain, VM or server that operators have taken out of service. */
export interface Withdrawal {
  readonly kind: 'failureDomain' | 'vm' | 'server';
  readonly name: string;
  readonly author: string;
  /** Wall-clock time of the change, in milliseconds since the Unix epoch. */
  readonly sinceMs: number;
}
