/** Observation on the connections to a backend server which suggests that it has ended. */
export interface PresenceEvidence {
  /** `refused`: its port has no listener, so its process has probably ended. `silent`: it does not respond. */
  readonly kind: 'refused' | 'silent';
  readonly incarnation: string;
}
