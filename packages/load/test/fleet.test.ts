import t from 'tap';
import { RendezvousPolicy } from '#assignment/RendezvousPolicy.js';
import { createFaultFleetOptions } from '#load/CreateFaultFleetOptions.js';
import { createTestCell } from '#load/CreateTestCell.js';
import { Fleet } from '#load/Fleet.js';
import { isCellServing } from '#load/IsCellServing.js';
import { waitFor } from '../../daemon/test/WaitFor.js';

const COMMAND = [process.execPath, '--disable-warning=ExperimentalWarning', 'build/packages/cli/src/Main.js'];

t.test('failed start leaves no process', async (t) => {
  // Guards against a store and daemons that keep running after the start of their fleet has failed.
  const fleet = new Fleet({
    ...createFaultFleetOptions(COMMAND, 1, ''),
    backendCommand: () => [process.execPath, '--eval', 'process.exit(1)'],
  });
  await t.rejects(fleet.start(), /exit code 1/);
  await fleet.stop();
  const isFree = (): boolean => !process.getActiveResourcesInfo().includes('ProcessWrap');
  await t.resolves(waitFor('the processes have ended', isFree, 2_000));
});

t.test('daemons start before the backend servers', async (t) => {
  // A daemon joins its cell with its backend server. The first one joined alone and was given most shards.
  const options = createFaultFleetOptions(COMMAND, 1, '');
  const countProcesses = (): number =>
    process.getActiveResourcesInfo().filter((name) => name === 'ProcessWrap').length;
  const counts: number[] = [];
  const fleet = new Fleet({
    ...options,
    backendCommand: () => {
      counts.push(countProcesses());
      return [process.execPath, '--eval', 'process.exit(1)'];
    },
  });
  await t.rejects(fleet.start(), /exit code 1/);
  await fleet.stop();
  const store = 1;
  t.equal(counts[0], store + options.instances.length, 'processes before the first backend server');
});

t.test('cell without shards does not serve', (t) => {
  // Its members join before its shards are placed. Tests that began then found no owner of a key.
  const placed = createTestCell(3, new RendezvousPolicy());
  t.ok(isCellServing(placed, ['*'], 3), 'all shards are owned');
  t.notOk(isCellServing({ ...placed, shards: {} }, ['*'], 3), 'no shard is placed');
  t.notOk(isCellServing(placed, ['*', 'r1'], 3), 'one placement is missing');
  t.notOk(isCellServing(placed, ['*'], 4), 'one member is missing');
  const unowned = { owner: '', token: 1, fences: [] };
  const partly = { ...placed, shards: { ...placed.shards, '*/127': unowned } };
  t.notOk(isCellServing(partly, ['*'], 3), 'one shard has no owner');
  t.end();
});
