/** Statement of a stopping daemon that it no longer grants keys in this term, and that its backend server holds none. */
export interface Resignation {
  readonly serverId: string;
  readonly term: number;
  /** Process id of the daemon run; a later run may hold the same term. */
  readonly processId: string;
}
