/** `udp` for messages of one datagram, `http` for large ones. */
export type Channel = 'udp' | 'http';
