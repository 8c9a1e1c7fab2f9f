/** Messages of a transport since its start. */
export interface TransportStats {
  readonly datagramsSent: number;
  readonly bytesSent: number;
  readonly datagramsReceived: number;
  /** Messages dropped because their signature, receiver, age or repetition failed the check. */
  readonly rejected: number;
}
