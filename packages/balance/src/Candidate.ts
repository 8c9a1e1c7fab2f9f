/** A backend server that may be chosen. */
export interface Candidate {
  readonly serverId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Fraction of the slots that may be used: its slow-start share times the share of its failure domain. */
  readonly share: number;
  /** Running and queued requests by its last load report; 0 without a report. */
  readonly reportedLoad: number;
}
