/** Names of the JSON-RPC methods between daemons. */
export const rpcMethods = Object.freeze({
  ping: 'ping',
  release: 'release',
  cancel: 'cancel',
  marks: 'marks',
  load: 'load',
  changes: 'changes',
  resigned: 'resigned',
  quota: 'quota',
});
