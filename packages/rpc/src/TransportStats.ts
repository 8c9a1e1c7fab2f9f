/** Message counters of a transport since its start. */
export interface TransportStats {
  readonly datagramsSent: number;
  readonly bytesSent: number;
  readonly datagramsReceived: number;
  /** Messages dropped because of a wrong signature or receiver, their age, or a replay. */
  readonly rejected: number;
}
