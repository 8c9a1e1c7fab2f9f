/** A JSON-RPC message with the fields that its signature covers. */
export interface Envelope {
  /** Server id of the sender. */
  readonly from: string;
  /** Server id of the receiver, or its address if the sender does not know the id. */
  readonly to: string;
  /** Sender's wall-clock time, in milliseconds since the Unix epoch. */
  readonly sentAtMs: number;
  /** The message as JSON text. */
  readonly payload: string;
}
