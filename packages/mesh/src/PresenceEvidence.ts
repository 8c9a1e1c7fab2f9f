/** What the connections to a backend server tell about it. */
export interface PresenceEvidence {
  /** `refused`: its port has no listener, so its process has probably ended. `silent`: it does not answer. */
  readonly kind: 'refused' | 'silent';
  readonly incarnation: string;
}
