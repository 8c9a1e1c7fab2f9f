/** A failure domain, VM or server that operators have taken out of service. */
export interface WithdrawalTarget {
  readonly kind: 'failureDomain' | 'vm' | 'server';
  readonly name: string;
}
