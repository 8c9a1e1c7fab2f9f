/** A backend server that may be chosen. */
export interface Candidate {
  readonly serverId: string;
  readonly region: string;
  readonly failureDomain: string;
  readonly slots: number;
  /** Part of the slots that may be used: its slow-start share times the share of its failure domain. */
  readonly share: number;
  /** Requests that run or wait there by its last report; 0 without one. */
  readonly reportedLoad: number;
}
