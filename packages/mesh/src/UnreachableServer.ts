/** A run of a backend server that is not used any longer because it is unreachable, but may still hold keys. */
export interface UnreachableServer {
  readonly incarnation: string;
  /** Time at which its last grant ends, in Unix milliseconds by the clock of its VM. */
  readonly keysFreeMs: number;
}
