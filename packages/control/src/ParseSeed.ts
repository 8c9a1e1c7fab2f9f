import type { PeerAddress } from '#rpc/PeerAddress.js';

/** Returns the address of a seed `host:port`, whose server id and UDP port are not known. */
export function parseSeed(seed: string): PeerAddress {
  const colon = seed.lastIndexOf(':');
  return {
    serverId: '',
    host: seed.slice(0, colon),
    peerPort: Number(seed.slice(colon + 1)),
    udpPort: 0,
  };
}
