/** A refused connection to a run of the backend server that has not announced itself since. */
export interface Refusal {
  readonly incarnation: string;
  /** Whether it has been silent for so long that another refusal proves its end. */
  readonly isSilent: boolean;
}
