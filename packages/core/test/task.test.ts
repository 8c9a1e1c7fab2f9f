import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import t from 'tap';
import { ContinueOnFault } from '#core/ContinueOnFault.js';
import { RouterError } from '#core/RouterError.js';
import { Task } from '#core/Task.js';
import { RecordingLogger } from '../../mesh/test/RecordingLogger.js';

interface NumberMessage {
  readonly type: 'number';
  readonly value: number;
}

/** Adds numbers; throws on negative ones. */
class SumTask extends Task<NumberMessage> {
  public sum = 0;

  protected override receive({ value }: NumberMessage): void {
    if (value < 0)
      throw new RouterError(
        { code: 'odd', step: 'queue', peer: '', ran: 'not run', status: 500 },
        `${value} ${'x'.repeat(10_000)}`,
      );
    this.sum += value;
  }
}

/** Runs FaultyMain, which ends with an uncaught error, and returns its exit status and output. */
async function runFaulty(kind: string): Promise<{ readonly status: number | null; readonly text: string }> {
  const path = fileURLToPath(new URL('FaultyMain.js', import.meta.url));
  const child = spawn(process.execPath, [path, kind]);
  let text = '';
  child.stdout.on('data', (chunk: Buffer) => {
    text += chunk.toString();
  });
  const status = await new Promise<number | null>((resolve) => child.on('close', resolve));
  return { status, text };
}

t.test('fault in one message does not affect the others', async (t) => {
  // Without the policy, the later messages of the batch were lost and the process ended.
  const logger = new RecordingLogger('test');
  const task = new SumTask();
  task.setFaultPolicy(new ContinueOnFault(logger));
  for (const value of [1, -2, 4]) task.post({ type: 'number', value });
  await Promise.resolve();
  t.equal(task.sum, 5);
  const [line] = logger.records;
  t.match(line, { event: 'messageFailed', fields: { task: 'SumTask', type: 'number', step: 'queue' } });
  t.match(line?.fields.message, /^RouterError: -2 x/);
  t.match(line?.fields.at, /SumTask/);
  t.ok(String(line?.fields.message).length <= 200);
});

t.test('endless faults do not fill the log', async (t) => {
  const logger = new RecordingLogger('test');
  const task = new SumTask();
  task.setFaultPolicy(new ContinueOnFault(logger));
  for (let index = 0; index < 5_000; index += 1) task.post({ type: 'number', value: -1 });
  await Promise.resolve();
  t.ok(logger.records.length <= 20, `${logger.records.length} lines`);
});

t.test('fault in a task that keeps state ends the process', { timeout: 20_000 }, async (t) => {
  const { status, text } = await runFaulty('task');
  t.equal(status, 1);
  t.match(text, /event=messageFailed .*task=FaultyTask type=odd/);
  t.match(text, /event=uncaught .*origin=uncaughtException/);
  t.notMatch(text, /handled after the fault/);
});

t.test('unhandled rejection ends the process', { timeout: 20_000 }, async (t) => {
  const { status, text } = await runFaulty('rejection');
  t.equal(status, 1);
  t.match(text, /event=uncaught .*origin=unhandledRejection/);
});

t.test('process ends even if halting and flushing fail', { timeout: 20_000 }, async (t) => {
  t.equal((await runFaulty('stalled')).status, 1);
});
