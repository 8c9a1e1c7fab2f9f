import { createHash } from 'node:crypto';
import { createResponseBody } from '#standin/CreateResponseBody.js';
import type { Call } from '#load/Call.js';
import type { LoadContent } from '#load/LoadContent.js';

const ANSWER_BYTES = 200;

/** Creates content for stand-in backend servers, whose answers depend on every part of the request. */
export function createContent(onCall: (call: Call) => void = () => undefined): LoadContent {
  return {
    createOrder: (call) => {
      onCall(call);
      return { method: 'POST', path: createPath(call), body: createBody(call) };
    },
    checkContent: (call, body) => body.equals(createExpected(call)),
  };
}

function createPath(call: Call): string {
  return `work?rid=${call.requestId}&bytes=${ANSWER_BYTES}`;
}

function createBody(call: Call): Buffer {
  return Buffer.from(JSON.stringify({ request: call.requestId, key: call.key }));
}

function createExpected(call: Call): Buffer {
  const { part, key, requestId } = call;
  const bodyHash = createHash('sha256').update(createBody(call)).digest('hex');
  const id = part.repeatable ? '' : requestId;
  const parts = [part.service, `/${createPath(call)}`, part.team, part.class, key, id, bodyHash];
  return createResponseBody(parts, ANSWER_BYTES);
}
