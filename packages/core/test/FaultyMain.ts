import { exitOnUncaught } from '#core/ExitOnUncaught.js';
import { Logger } from '#core/Logger.js';
import { sendLogsTo } from '#core/SendLogsTo.js';
import { Task } from '#core/Task.js';

/** Program that fails in the way its argument names, for tests of how a process ends after a fault. */
class FaultyTask extends Task<{ readonly type: string }> {
  protected override receive({ type }: { readonly type: string }): void {
    if (type === 'odd') throw new Error('cannot be handled');
    process.stdout.write('handled after the fault\n');
  }
}

const kind = process.argv[2] ?? '';
const task = new FaultyTask();

sendLogsTo((line) => process.stdout.write(line));
exitOnUncaught({
  logger: new Logger('faulty'),
  halt: () => {
    task.stop();
    if (kind === 'stalled') throw new Error('halt fails too');
  },
  flush: (done) => {
    if (kind !== 'stalled') setTimeout(done, 50);
  },
});

setInterval(() => task.post({ type: 'usual' }), 1_000);
if (kind === 'rejection') void Promise.reject(new Error('not handled'));
else {
  task.post({ type: 'odd' });
  queueMicrotask(() => task.post({ type: 'usual' }));
}
