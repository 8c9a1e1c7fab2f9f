import { CommandError } from '#cli/CommandError.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';

interface Refusal {
  readonly error?: string;
  readonly step?: string;
  readonly peer?: string;
  readonly message?: string;
  readonly faults?: readonly { readonly line: number; readonly path: string; readonly message: string }[];
  readonly refused?: readonly { readonly part: string; readonly message: string }[];
}

const EXIT_BY_STATUS: Readonly<Record<number, ExitCode>> = {
  412: exitCodes.conflict,
  422: exitCodes.faults,
  502: exitCodes.unreachable,
  503: exitCodes.unreachable,
};

/** Creates the error for a response of the administration API with an error status. */
export function describeRefusal(status: number, text: string, url: string): CommandError {
  const refusal = parseRefusal(text);
  const { error = 'refused', step = 'admin', peer = '', message = '', faults = [], refused = [] } = refusal;
  const lines = [
    ...faults.map((fault) => `line ${fault.line}: ${fault.path}: ${fault.message}`),
    ...refused.map((each) => `${each.part}: ${each.message}`),
  ];
  const at = peer === '' ? step : `${step} ${peer}`;
  const fields = { code: error, step: 'admin', peer: url } as const;
  const exitCode = EXIT_BY_STATUS[status] ?? exitCodes.failed;
  return new CommandError(
    exitCode,
    fields,
    `${url} responded with ${status} (${error}, ${at}): ${message}`,
    lines,
  );
}

function parseRefusal(text: string): Refusal {
  try {
    return JSON.parse(text) as Refusal;
  } catch {
    return { message: text.slice(0, 200) };
  }
}
