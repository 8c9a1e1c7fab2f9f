import type { DefaultValue } from '#catalogue/DefaultValue.js';
import { formatFault } from '#catalogue/FormatFault.js';
import { listCatalogueDefaults } from '#catalogue/ListCatalogueDefaults.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import { listSettingsDefaults } from '#settings/ListSettingsDefaults.js';
import { parseDeployment } from '#settings/ParseDeployment.js';
import { parseSettings } from '#settings/ParseSettings.js';
import { checkRoutes } from '#cli/CheckRoutes.js';
import type { CheckedFile } from '#cli/CheckedFile.js';
import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { findDocumentKind } from '#cli/FindDocumentKind.js';
import { formatDifference } from '#cli/FormatDifference.js';
import { formatTextTable } from '#cli/FormatTextTable.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { UsageError } from '#cli/UsageError.js';

/** Validates settings, catalogues, deployments and configurations of routes without a daemon. */
export class CheckCommand extends Command {
  public override readonly usage = 'check [...files]';
  public override readonly summary =
    'Check settings, catalogues, deployments and configurations of routes for faults';
  public override readonly options = [
    { usage: '--defaults', summary: 'Print every default instead of checking files' },
    { usage: '--current <file>', summary: 'Configuration in force, to list what differs from it' },
    { usage: '--regions <names>', summary: 'Regions that exist, separated by commas, to check routes' },
  ];
  public override readonly examples = [
    'check settings.jsonc catalogue.jsonc',
    'check --defaults',
    'check --json catalogue.jsonc',
    'check --current current.json --regions west,east next.json',
  ];

  public override run({ args, options, terminal }: CommandCall): Promise<ExitCode> {
    const asJson = options.json === true;
    if (options.defaults === true) {
      terminal.print(asJson ? JSON.stringify(listDefaults(), null, 2) : formatDefaults());
      return Promise.resolve(exitCodes.done);
    }
    if (args.length === 0) throw new UsageError('specify at least one file');
    const inForce = typeof options.current === 'string' ? options.current : undefined;
    const regions = typeof options.regions === 'string' ? options.regions.split(',') : [];
    const files = args.map((file) => checkFile(file, { inForce, regions }));
    terminal.print(asJson ? JSON.stringify({ files }, null, 2) : files.map(formatFile).join('\n'));
    const hasFaults = files.some(({ faults }) => faults.length > 0);
    return Promise.resolve(hasFaults ? exitCodes.faults : exitCodes.done);
  }
}

function checkFile(file: string, options: Parameters<typeof checkRoutes>[2]): CheckedFile {
  const text = readTextFile(file);
  const kind = findDocumentKind(text);
  if (kind === 'routes') return checkRoutes(text, file, options);
  const parse = { catalogue: parseCatalogue, deployment: parseDeployment, settings: parseSettings }[kind];
  const faults = parse(text, file).swap().orDefault([]);
  return { file, kind, faults, warnings: [], differences: undefined };
}

function formatFile({ file, kind, faults, warnings, differences }: CheckedFile): string {
  const lines = [
    ...(faults.length === 0 ? [`${file}: no faults (${kind})`] : faults.map(formatFault)),
    ...warnings.map((each) => `${formatFault(each)} (warning)`),
    ...(differences?.length === 0 ? ['no differences'] : (differences ?? []).map(formatDifference)),
  ];
  return lines.join('\n');
}

function listDefaults(): Readonly<Record<'settings' | 'catalogue', readonly DefaultValue[]>> {
  return { settings: listSettingsDefaults(), catalogue: listCatalogueDefaults() };
}

function formatDefaults(): string {
  const rows = Object.entries(listDefaults()).flatMap(([kind, values]) =>
    values.map(({ path, value }) => [kind, path, JSON.stringify(value)]),
  );
  return formatTextTable(['file', 'path', 'default'], rows);
}
