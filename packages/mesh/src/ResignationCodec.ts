import { Codec, number, string } from 'purify-ts';

/** Decodes the `Resignation` of another daemon. */
export const resignationCodec = Codec.interface({ serverId: string, term: number, processId: string });
