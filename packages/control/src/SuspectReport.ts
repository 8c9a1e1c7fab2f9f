/** A member that is to be taken over: a majority of its witnesses found it silent, or it gave itself up. */
export interface SuspectReport {
  readonly cellName: string;
  readonly serverId: string;
  readonly epoch: number;
}
