import t from 'tap';
import { createFaultFleetOptions } from '#load/CreateFaultFleetOptions.js';
import { Fleet } from '#load/Fleet.js';
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
