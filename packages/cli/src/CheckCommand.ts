import type { DefaultValue } from '#catalogue/DefaultValue.js';
import type { DocumentFault } from '#catalogue/DocumentFault.js';
import { formatFault } from '#catalogue/FormatFault.js';
import { listCatalogueDefaults } from '#catalogue/ListCatalogueDefaults.js';
import { parseCatalogue } from '#catalogue/ParseCatalogue.js';
import { listSettingsDefaults } from '#settings/ListSettingsDefaults.js';
import { parseDeployment } from '#settings/ParseDeployment.js';
import { parseSettings } from '#settings/ParseSettings.js';
import { Command } from '#cli/Command.js';
import type { CommandCall } from '#cli/CommandCall.js';
import type { ExitCode } from '#cli/ExitCode.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { findDocumentKind } from '#cli/FindDocumentKind.js';
import { formatTextTable } from '#cli/FormatTextTable.js';
import { readTextFile } from '#cli/ReadTextFile.js';
import { UsageError } from '#cli/UsageError.js';

interface CheckedFile {
  readonly file: string;
  readonly kind: string;
  readonly faults: readonly DocumentFault[];
}

/** Validates settings, catalogues and deployments without a daemon. */
export class CheckCommand extends Command {
  public override readonly usage = 'check [...files]';
  public override readonly summary = 'Check settings, catalogues and deployments for faults';
  public override readonly options = [
    { usage: '--defaults', summary: 'Print every default instead of checking files' },
  ];
  public override readonly examples = [
    'check settings.jsonc catalogue.jsonc',
    'check --defaults',
    'check --json catalogue.jsonc',
  ];

  public override run({ args, options, terminal }: CommandCall): Promise<ExitCode> {
    const asJson = options.json === true;
    if (options.defaults === true) {
      terminal.print(asJson ? JSON.stringify(listDefaults(), null, 2) : formatDefaults());
      return Promise.resolve(exitCodes.done);
    }
    if (args.length === 0) throw new UsageError('specify at least one file');
    const files = args.map(checkFile);
    terminal.print(asJson ? JSON.stringify({ files }, null, 2) : files.map(formatFile).join('\n'));
    const hasFaults = files.some(({ faults }) => faults.length > 0);
    return Promise.resolve(hasFaults ? exitCodes.faults : exitCodes.done);
  }
}

function checkFile(file: string): CheckedFile {
  const text = readTextFile(file);
  const kind = findDocumentKind(text);
  const parse = { catalogue: parseCatalogue, deployment: parseDeployment, settings: parseSettings }[kind];
  return { file, kind, faults: parse(text, file).swap().orDefault([]) };
}

function formatFile({ file, kind, faults }: CheckedFile): string {
  return faults.length === 0 ? `${file}: no faults (${kind})` : faults.map(formatFault).join('\n');
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
