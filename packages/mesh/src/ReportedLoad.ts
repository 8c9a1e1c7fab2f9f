/** Load that a backend server reports with an answer. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Factor by which work takes longer than usual at this moment. */
  readonly slowdown: number;
}
