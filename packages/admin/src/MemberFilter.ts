/** Restricts a list of members; empty fields match everything. */
export interface MemberFilter {
  readonly service: string;
  readonly region: string;
  readonly failureDomain: string;
}
