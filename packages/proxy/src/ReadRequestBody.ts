import type { IncomingMessage } from 'node:http';

/**
 * Reads a request body of at most `maxBytes` and passes it to `onBody`. If the body is larger, calls `onExcess` and
 * destroys the connection. Calls neither if the sender aborts the request.
 */
export function readRequestBody(
  req: IncomingMessage,
  maxBytes: number,
  onBody: (body: Buffer) => void,
  onExcess: () => void = () => undefined,
): void {
  const chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  let bytes = 0;
  req.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes <= maxBytes) {
      chunks.push(chunk);
      return;
    }
    if (!req.destroyed) onExcess();
    req.destroy();
  });
  req.on('end', () => {
    if (req.complete && bytes <= maxBytes)
      onBody(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
  });
}
