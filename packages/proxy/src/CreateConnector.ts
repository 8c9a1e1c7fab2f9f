import { buildConnector } from 'undici';

/**
 * Creates an undici connector whose connections report a reset as a fault. Undici treats an error with the code
 * ECONNRESET as the regular end of a response that has no length, so a truncated response would count as complete.
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
