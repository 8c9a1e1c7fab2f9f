import { cac } from 'cac';
import { runDaemon } from '#cli/RunDaemon.js';
import { runDemo } from '#cli/RunDemo.js';
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
cli
  .command('demo [folder]', 'Run a deployment on loopback under load, and check what must hold')
  .option('--seed <number>', 'Seed of the load', { default: 20261204 })
  .option('--logs <names>', 'Log names of the daemons', { default: '' })
  .action(async (folder: string | undefined, options: { readonly seed: number; readonly logs: string }) => {
    process.exitCode = await runDemo(folder ?? 'examples/pamoja', options.seed, options.logs);
  });
cli.help();
cli.parse();
