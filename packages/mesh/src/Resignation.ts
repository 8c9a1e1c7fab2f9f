/** Statement of a daemon that ends: under this term it neither grants nor renews any more, and its server holds nothing. */
export interface Resignation {
  readonly serverId: string;
  readonly term: number;
  /** Run of the daemon; a later run may hold the same term again. */
  readonly processId: string;
}
