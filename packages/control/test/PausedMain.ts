// Runs one daemon's control plane in a separate process, so that a test can stop it with a signal.
// Prints `usable=<shards> minToken=<token>` at each change of the shards that it may use.
import { Fleet } from './Fleet.js';

const fleet = new Fleet({ teardown: () => undefined });
fleet.useStore(Number(process.argv[2]));
const daemon = await fleet.add('paused', 'd0');
let last = '';
setInterval(() => {
  const tokens = [...daemon.usable().values()].map(({ token }) => token);
  const line = `usable=${tokens.length} minToken=${tokens.length === 0 ? 0 : Math.min(...tokens)}`;
  if (line !== last) console.log(line);
  last = line;
}, 1);
