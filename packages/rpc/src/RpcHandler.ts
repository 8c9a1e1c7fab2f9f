/** Handles calls of one method; `from` is the server id of the caller. No reply is sent if the result is undefined. */
export type RpcHandler = (params: unknown, from: string) => unknown;
