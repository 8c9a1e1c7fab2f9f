import type { IncomingMessage } from 'node:http';

/** Reads a body whose length is known and small; `onBody` is not called if the caller cuts it off. */
export function readBody(req: IncomingMessage, onBody: (body: Buffer) => void): void {
  const chunks: Buffer[] = []; // eslint-disable-line no-restricted-syntax -- local accumulator
  req.on('data', (chunk: Buffer) => chunks.push(chunk));
  req.on('end', () => {
    if (req.complete)
      onBody(chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks));
  });
}
