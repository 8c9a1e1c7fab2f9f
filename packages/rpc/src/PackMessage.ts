import { isJSONRPCResponse, type JSONRPCRequest, type JSONRPCResponse } from 'json-rpc-2.0';

/**
 * Encodes a JSON-RPC message as a short JSON array for datagrams: `[0, id, method, params]` for a request,
 * `[1, method, params]` for a notification, `[2, id, result]` for a result and `[3, id, code, message]` for an error.
 * The member names of JSON-RPC would otherwise take up a third of a renewal.
 */
export function packMessage(message: JSONRPCRequest | JSONRPCResponse): string {
  if (!isJSONRPCResponse(message)) {
    const { id, method } = message;
    const params: unknown = message.params;
    return JSON.stringify(id === undefined ? [1, method, params] : [0, id, method, params]);
  }
  if (message.error !== undefined) {
    return JSON.stringify([3, message.id, message.error.code, message.error.message]);
  }
  return JSON.stringify([2, message.id, message.result]);
}
