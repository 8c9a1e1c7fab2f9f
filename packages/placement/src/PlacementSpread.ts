/** Loads of the servers of a service as one daemon knows them, for its log. */
export interface PlacementSpread {
  /** Number of servers with a load report. */
  readonly reported: number;
  /** Mean of their requests for each slot. */
  readonly meanLoad: number;
  /** Server with the highest load, and that load. */
  readonly busiest: string;
  readonly busiestLoad: number;
}
