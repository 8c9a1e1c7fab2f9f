import type { DocumentFault } from '#catalogue/DocumentFault.js';
import { readConfiguration } from '#platform/ReadConfiguration.js';
import { checkRouteTable } from '#routes/CheckRouteTable.js';
import { diffRouteTables } from '#routes/DiffRouteTables.js';
import type { RouteTable } from '#routes/RouteTable.js';
import type { CheckedFile } from '#cli/CheckedFile.js';
import { CommandError } from '#cli/CommandError.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { readTextFile } from '#cli/ReadTextFile.js';

interface Options {
  /** File with the version in force. */
  readonly inForce: string | undefined;
  /** Regions that exist; names of regions are not checked if empty. */
  readonly regions: readonly string[];
}

/** Checks a configuration in the platform's format before it is sent. */
export function checkRoutes(text: string, file: string, { inForce, regions }: Options): CheckedFile {
  const current = inForce === undefined ? undefined : readInForce(inForce);
  return readConfiguration(text, file).caseOf<CheckedFile>({
    Left: (faults) => ({ file, kind: 'routes', faults, warnings: [], differences: undefined }),
    Right: ({ table, locate }) => {
      const findings = checkRouteTable(table, regions);
      const select = (severity: 'error' | 'warning'): readonly DocumentFault[] =>
        findings
          .filter((each) => each.severity === severity)
          .map(({ subject, message }) => locate(subject, message));
      const outdated =
        current !== undefined && current.version >= table.version
          ? [
              locate(
                { kind: 'configuration' },
                `version ${table.version} is not above ${current.version}, which is in force`,
              ),
            ]
          : [];
      return {
        file,
        kind: 'routes',
        faults: [...outdated, ...select('error')],
        warnings: select('warning'),
        differences: current === undefined ? undefined : diffRouteTables(current, table),
      };
    },
  });
}

function readInForce(file: string): RouteTable {
  return readConfiguration(readTextFile(file), file).caseOf({
    Left: ([fault]) => {
      const fields = { code: 'unreadable', step: 'settings', peer: file } as const;
      throw new CommandError(
        exitCodes.failed,
        fields,
        `${file} is no configuration: ${fault?.message ?? 'empty'}`,
      );
    },
    Right: ({ table }) => table,
  });
}
