import { Codec, enumeration, number, string } from 'purify-ts';

enum State {
  Absent = 'absent',
  Ready = 'ready',
  Draining = 'draining',
  Gone = 'gone',
}

/** Decodes a published `ServerEntry`. */
export const serverEntryCodec = Codec.interface({
  serverId: string,
  address: string,
  failureDomain: string,
  region: string,
  service: string,
  instanceId: string,
  incarnation: string,
  state: enumeration(State),
  slots: number,
  term: number,
  processId: string,
});
