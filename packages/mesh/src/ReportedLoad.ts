/** Load that a backend server reports with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor by which work currently takes longer than usual. */
  readonly slowdown: number;
}
