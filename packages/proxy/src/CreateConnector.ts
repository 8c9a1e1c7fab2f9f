import { buildConnector } from 'undici';

/**
 * Creates a connector whose connections report a reset as a fault. The library takes one with the code ECONNRESET for the
 * end of an answer that has no length, so that a cut answer would pass as a whole one.
 */
export function createConnector(options: buildConnector.BuildOptions): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      result[1]?.prependListener('error', renameReset);
      callback(...result);
    });
}

function renameReset(err: NodeJS.ErrnoException): void {
  if (err.code === 'ECONNRESET') Object.assign(err, { code: 'UND_ERR_SOCKET' });
}
