/** A refused connection to a run of the backend server which has not announced itself since. */
export interface RefusedConnection {
  readonly incarnation: string;
  /** Whether the run has been silent for so long that another refused connection proves its end. */
  readonly isSilent: boolean;
}
