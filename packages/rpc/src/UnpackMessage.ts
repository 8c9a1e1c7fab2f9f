import {
  createJSONRPCErrorResponse,
  createJSONRPCNotification,
  createJSONRPCRequest,
  createJSONRPCSuccessResponse,
  type JSONRPCParams,
  type JSONRPCRequest,
  type JSONRPCResponse,
} from 'json-rpc-2.0';

type PackedMessage =
  | readonly [0, string, string, JSONRPCParams]
  | readonly [1, string, JSONRPCParams]
  | readonly [2, string, unknown]
  | readonly [3, string, number, string];

/** Decodes a message that `packMessage` encoded. */
export function unpackMessage(text: string): JSONRPCRequest | JSONRPCResponse {
  const packed = JSON.parse(text) as PackedMessage;
  switch (packed[0]) {
    case 0:
      return createJSONRPCRequest(packed[1], packed[2], packed[3]);
    case 1:
      return createJSONRPCNotification(packed[1], packed[2]);
    case 2:
      return createJSONRPCSuccessResponse(packed[1], packed[2]);
    case 3:
      return createJSONRPCErrorResponse(packed[1], packed[2], packed[3]);
  }
}
