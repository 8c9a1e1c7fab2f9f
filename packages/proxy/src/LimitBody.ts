import { Transform, type Readable, type TransformCallback } from 'node:stream';

/** Passes a body through, and fails with an error if it exceeds `maxBytes` or the caller aborts it. */
export function limitBody(body: Readable, maxBytes: number): Readable {
  let bytes = 0;
  const pass = new Transform({
    transform(chunk: Buffer, _encoding, callback: TransformCallback) {
      bytes += chunk.length;
      if (bytes > maxBytes) callback(new Error('the body exceeds the limit of its catalogue entry'));
      else callback(null, chunk);
    },
  });
  body.once('error', (err) => pass.destroy(err));
  body.once('aborted', () => pass.destroy(new Error('the caller aborted the request body')));
  return body.pipe(pass);
}
