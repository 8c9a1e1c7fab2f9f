import type { Codec } from 'purify-ts';
import { createListCodec } from '#codec/CreateListCodec.js';
import { createNumberCodec } from '#codec/CreateNumberCodec.js';
import { createObjectCodec } from '#codec/CreateObjectCodec.js';
import { idCodec } from '#codec/IdCodec.js';
import { measureCodec } from '#codec/MeasureCodec.js';
import { RouterError } from '#core/RouterError.js';
import { changesReplyCodec } from '#fanout/ChangesReplyCodec.js';
import { changesRequestCodec } from '#fanout/ChangesRequestCodec.js';
import { crashMarkCodec } from '#mesh/CrashMarkCodec.js';
import { headerTextCodec } from '#mesh/HeaderTextCodec.js';
import type { PeerCallHandlers } from '#mesh/PeerCallHandlers.js';
import { rpcMethods } from '#mesh/RpcMethods.js';

/** Limit of marks in one call; a daemon keeps fewer. */
const MAX_MARKS = 10_000;

const cancel = createObjectCodec({ id: headerTextCodec });

const release = createObjectCodec({
  to: idCodec,
  workMsPerSecond: measureCodec,
  share: createNumberCodec(0, 1),
  speedup: measureCodec,
});

const marks = createObjectCodec({ marks: createListCodec(crashMarkCodec, MAX_MARKS) });

/**
 * Creates the handlers of RPC calls from other daemons. A call with malformed parameters fails with
 * `callMalformed`.
 */
export function createPeerCalls(
  processId: string,
  links: PeerCallHandlers,
): Readonly<Record<string, (params: unknown) => unknown>> {
  return {
    [rpcMethods.ping]: async () => ({ processId, plans: await links.describePlanner() }),
    [rpcMethods.load]: () => links.describeLoad(),
    [rpcMethods.resigned]: (params) => links.onResigned(params),
    [rpcMethods.quota]: (params) => links.onQuota(params),
    [rpcMethods.cancel]: (params) => links.onCancel(decode(rpcMethods.cancel, cancel, params).id),
    [rpcMethods.release]: (params) => links.onRelease(decode(rpcMethods.release, release, params)),
    [rpcMethods.changes]: (params) =>
      links
        .readChanges(decode(rpcMethods.changes, changesRequestCodec, params))
        .then((reply) => changesReplyCodec.encode(reply)),
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
