/** Methods that a daemon answers about itself, to other daemons or to its own administration API, by name. */
export type AdminMethods = ReadonlyMap<string, (params: unknown) => Promise<unknown>>;
