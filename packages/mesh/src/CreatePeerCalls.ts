import { array, boolean, Codec, number, string } from 'purify-ts';
import type { CrashMark } from '#admission/CrashMark.js';
import { RouterError } from '#core/RouterError.js';
import type { PeerCallLinks } from '#mesh/PeerCallLinks.js';
import { rpcMethods } from '#mesh/RpcMethods.js';

const cancel = Codec.interface({ id: string });

const release = Codec.interface({ to: string, workMsPerSecond: number, share: number, speedup: number });

const crashMark: Codec<CrashMark> = Codec.interface({ fingerprint: string, death: string, cleared: boolean });

const marks = Codec.interface({ marks: array(crashMark) });

/** Creates the handlers of the calls of other daemons. Malformed parameters are answered with an error. */
export function createPeerCalls(
  processId: string,
  links: PeerCallLinks,
): Readonly<Record<string, (params: unknown) => unknown>> {
  return {
    [rpcMethods.ping]: async () => ({ processId, plans: await links.describePlanner() }),
    [rpcMethods.load]: () => links.describeLoad(),
    [rpcMethods.resigned]: (params) => links.onResigned(params),
    [rpcMethods.cancel]: (params) => links.onCancel(decode(rpcMethods.cancel, cancel, params).id),
    [rpcMethods.release]: (params) => links.onRelease(decode(rpcMethods.release, release, params)),
    [rpcMethods.marks]: (params) => links.onMarks(decode(rpcMethods.marks, marks, params).marks),
  };
}

function decode<T>(method: string, codec: Codec<T>, params: unknown): T {
  return codec.decode(params).caseOf({
    Right: (value) => value,
    Left: (message) => {
      throw new RouterError(
        { code: 'callMalformed', step: 'rpc', peer: '', ran: 'not run', status: 400 },
        `${method}: ${message}`,
      );
    },
  });
}
