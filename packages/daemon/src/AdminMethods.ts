/** RPC methods by name, with which a daemon reports on itself to other daemons and to its own administration API. */
export type AdminMethods = ReadonlyMap<string, (params: unknown) => Promise<unknown>>;
