import { array, Codec, number, optional, string } from 'purify-ts';

/** Decodes a stored `RangeTable`. */
export const rangeTableCodec = Codec.interface({
  service: string,
  lastEpoch: number,
  fences: optional(number),
  rows: array(
    Codec.interface({
      from: number,
      to: number,
      serverId: string,
      term: number,
      incarnation: string,
      epoch: number,
      handover: string,
    }),
  ),
});
