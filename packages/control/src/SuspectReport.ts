/** A member that a witness found silent and others confirmed. */
export interface SuspectReport {
  readonly cellName: string;
  readonly serverId: string;
  readonly epoch: number;
}
