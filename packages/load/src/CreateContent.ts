import { createHash } from 'node:crypto';
import { createResponseBody } from '#standin/CreateResponseBody.js';
import type { Call } from '#load/Call.js';
import type { LoadContent } from '#load/LoadContent.js';

const RESPONSE_BYTES = 200;

/** Creates content for stand-in backend servers, whose responses depend on every part of the request. */
export function createContent(onCall: (call: Call) => void = () => undefined): LoadContent {
  return {
    createRequest: (call) => {
      onCall(call);
      return { method: 'POST', path: createPath(call), body: createBody(call) };
    },
    checkContent: (call, body) => body.equals(createExpectedBody(call)),
  };
}

function createPath(call: Call): string {
  return `work?rid=${call.requestId}&bytes=${RESPONSE_BYTES}`;
}

function createBody(call: Call): Buffer {
  return Buffer.from(JSON.stringify({ request: call.requestId, key: call.key }));
}

function createExpectedBody(call: Call): Buffer {
  const { loadClass, key, requestId } = call;
  const bodyHash = createHash('sha256').update(createBody(call)).digest('hex');
  const id = loadClass.repeatable ? '' : requestId;
  const parts = [
    loadClass.service,
    `/${createPath(call)}`,
    loadClass.team,
    loadClass.class,
    key,
    id,
    bodyHash,
  ];
  return createResponseBody(parts, RESPONSE_BYTES);
}
