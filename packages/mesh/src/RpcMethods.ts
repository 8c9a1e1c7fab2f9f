/** Methods of the calls between daemons. */
export const rpcMethods = Object.freeze({
  ping: 'ping',
  release: 'release',
  cancel: 'cancel',
  marks: 'marks',
  load: 'load',
  resigned: 'resigned',
});
