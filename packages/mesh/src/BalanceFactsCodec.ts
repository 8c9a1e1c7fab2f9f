import { boolean, Codec, number, string } from 'purify-ts';

/** Decodes the `BalanceFacts` of another daemon. */
export const balanceFactsCodec = Codec.interface({
  serverId: string,
  workMsPerSecond: number,
  slots: number,
  waitMs: number,
  baseSlowdown: number,
  accepts: boolean,
});
