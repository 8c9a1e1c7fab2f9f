/** Handles calls of one method from the daemon `from`. No reply is sent if the result is undefined. */
export type RpcHandler = (params: unknown, from: string) => unknown;
