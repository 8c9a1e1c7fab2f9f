import t from 'tap';
import type { Test } from 'tap';
import { operatorCommands } from '#cli/OperatorCommands.js';
import { runCli } from '#cli/RunCli.js';
import { FakeTerminal } from './FakeTerminal.js';

const owner = [
  'time=2026-12-04T10:00:00.100Z log=amaranthrouter:ranges event=release step=move from=1 to=2 peer=b',
  'time=2026-12-04T10:00:00.300Z log=amaranthrouter:server event=orderRefused step=queue id=7 code=moving running=6',
  'time=2026-12-04T10:00:00.310Z log=amaranthrouter:server event=orderRefused step=queue id=8 code=full running=6',
  'time=2026-12-04T10:09:00.000Z log=amaranthrouter:ranges event=keysTransferred step=move epoch=9',
  'a line that was cut event=',
].join('\n');

// The clock of this daemon is behind the one of the owner.
const entry =
  'time=2026-12-04T10:00:00.290Z log=amaranthrouter:entry event=requestEnded id=7 outcome=refused detail="not owner" tookMs=90\n';

const other = 'time=2026-12-04T10:00:00.200Z log=amaranthrouter:directory event=storeLost step=store\n';

interface Trace {
  readonly code: number;
  readonly lines: readonly string[];
  readonly errors: string;
}

async function trace(t: Pick<Test, 'testdir'>, id: string): Promise<Trace> {
  const dir = t.testdir({ 'owner.log': owner, 'entry.log': entry, 'other.log': other });
  const terminal = new FakeTerminal();
  const files = ['owner', 'entry', 'other'].map((name) => `${dir}/${name}.log`);
  const code = await runCli(
    operatorCommands,
    ['node', 'amaranthrouter', 'trace', id, ...files],
    '1',
    terminal,
  );
  return { code, lines: terminal.output.trim().split('\n'), errors: terminal.errors };
}

t.test('trace lists a request and the state changes around it', async (t) => {
  const { code, lines } = await trace(t, '7');
  t.equal(code, 0);
  t.equal(
    lines.length,
    3,
    'no line about other requests, from daemons that it did not reach, or of another time',
  );
  t.match(lines[0], /^owner\.log .*event=release/);
  t.match(lines[1], /^\* entry\.log .*event=requestEnded/);
  t.match(lines[2], /^\* owner\.log .*code=moving/);
});

t.test('request that is in no log is reported', async (t) => {
  const { code, errors } = await trace(t, '99');
  t.equal(code, 1);
  t.match(errors, /99/);
});
