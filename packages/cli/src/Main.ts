import { cac } from 'cac';
import { runDaemon } from '#cli/RunDaemon.js';
import { runStandinBackend } from '#cli/RunStandinBackend.js';
import { runStandinStore } from '#cli/RunStandinStore.js';

const cli = cac('amaranthrouter');
cli.command('daemon <settings>', 'Run a daemon').action(async (file: string) => {
  process.exitCode = await runDaemon(file);
  process.exit();
});
cli.command('standin-store', 'Run a stand-in object store').action(() => runStandinStore());
cli
  .command('standin-backend <options>', 'Run a stand-in backend server')
  .action((text: string) => runStandinBackend(text));
cli.help();
cli.parse();
