import { cac, type CAC } from 'cac';
import { RouterError } from '#core/RouterError.js';
import type { Command } from '#cli/Command.js';
import { CommandError } from '#cli/CommandError.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { globalOptions } from '#cli/GlobalOptions.js';
import type { Terminal } from '#cli/Terminal.js';

const PROGRAM_NAME = 'amaranthrouter';

/** Runs the command in `argv`, whose first two items are ignored, and returns its exit code. */
export async function runCli(
  commands: readonly Command[],
  argv: readonly string[],
  version: string,
  terminal: Terminal,
): Promise<ExitCode> {
  const cli = cac(PROGRAM_NAME);
  for (const { usage, summary } of globalOptions) cli.option(usage, summary);
  for (const command of commands) addCommand(cli, command, terminal);
  cli.help((sections) => [...sections, { title: 'Exit codes', body: describeExitCodes() }]);
  cli.version(version);
  try {
    cli.parse([...moveFlagsToEnd(argv, commands)], { run: false });
    if (cli.options.help === true || (cli.options.version === true && cli.matchedCommandName === undefined))
      return exitCodes.done;
    if (cli.matchedCommand === undefined) {
      const [name] = cli.args;
      terminal.printError(name === undefined ? 'name a command' : `there is no command "${name}"`);
      terminal.printError(`see ${PROGRAM_NAME} --help`);
      return exitCodes.usage;
    }
    return (await cli.runMatchedCommand()) as ExitCode;
  } catch (error) {
    return reportError(error, cli.options.json === true, terminal);
  }
}

function addCommand(cli: CAC, command: Command, terminal: Terminal): void {
  const added = cli.command(command.usage, command.summary);
  for (const { usage, summary } of command.options) added.option(usage, summary);
  for (const example of command.examples) added.example(`  $ ${PROGRAM_NAME} ${example}`);
  added.action((...values: readonly unknown[]) => {
    const options = (values.at(-1) ?? {}) as Readonly<Record<string, unknown>>;
    const args = values.slice(0, -1).flatMap((value) => (value === undefined ? [] : [value].flat()));
    return command.run({ args: args.map(String), options, terminal });
  });
}

// cac treats the argument after a flag as the value of the flag and converts digits to a number, which drops leading
// zeros of keys.
function moveFlagsToEnd(argv: readonly string[], commands: readonly Command[]): readonly string[] {
  const usages = [...globalOptions, ...commands.flatMap(({ options }) => options)].map(({ usage }) => usage);
  const flags = new Set(usages.filter((usage) => !usage.includes('<')));
  const end = argv.includes('--') ? argv.indexOf('--') : argv.length;
  const before = argv.slice(0, end);
  return [
    ...before.filter((arg) => !flags.has(arg)),
    ...before.filter((arg) => flags.has(arg)),
    ...argv.slice(end),
  ];
}

function describeExitCodes(): string {
  return [
    '  0  success',
    '  1  failure',
    '  2  wrong usage',
    '  3  faults in a file',
    '  4  another change was accepted first',
    '  5  the daemon or its store cannot be reached',
  ].join('\n');
}

function reportError(error: unknown, asJson: boolean, terminal: Terminal): ExitCode {
  const message = error instanceof Error ? error.message : String(error);
  const lines = error instanceof CommandError ? error.lines : [];
  const fields = error instanceof RouterError ? error.fields : undefined;
  if (asJson)
    terminal.printError(
      JSON.stringify({ error: fields?.code, step: fields?.step, peer: fields?.peer, message, lines }),
    );
  else terminal.printError([`${PROGRAM_NAME}: ${message}`, ...lines.map((line) => `  ${line}`)].join('\n'));
  if (error instanceof CommandError) return error.exitCode;
  const isUsage = error instanceof Error && error.name === 'CACError';
  return isUsage ? exitCodes.usage : exitCodes.failed;
}
