import { boolean, Codec, number, string } from 'purify-ts';

/** Decodes a stored `LeaseRecord`. */
export const leaseRecordCodec = Codec.interface({
  serverId: string,
  service: string,
  processId: string,
  term: number,
  incarnation: string,
  revoked: boolean,
  renewal: number,
  workMsPerSecond: number,
  slots: number,
  accepts: boolean,
});
