/** What the choice of a backend server depends on. */
export interface RequestFacts {
  /** Region of the choosing daemon. */
  readonly region: string;
  readonly failureDomain: string;
  /** Regions in which the request may be served (home regions); empty for any. */
  readonly homeRegions: readonly string[];
  /** Whether the entry allows the bytes of the request and its answer between regions. */
  readonly otherRegions: boolean;
  /** Servers that must not be chosen: those already tried, and those ejected or draining. */
  readonly excluded: ReadonlySet<string>;
}
