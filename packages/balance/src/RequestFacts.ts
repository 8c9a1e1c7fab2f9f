/** Properties of a request that the choice of a backend server depends on. */
export interface RequestFacts {
  /** Region of the choosing daemon. */
  readonly region: string;
  readonly failureDomain: string;
  /** Regions in which the request may be served (home regions); empty for any. */
  readonly homeRegions: readonly string[];
  /** Whether the request and its response may be transferred between regions. */
  readonly otherRegions: boolean;
  /** Servers that must not be chosen: already tried, ejected or draining ones. */
  readonly excluded: ReadonlySet<string>;
}
