/** `udp` for messages that fit one datagram, `http` for larger ones. */
export type Channel = 'udp' | 'http';
