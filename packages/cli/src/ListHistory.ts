import type { HistoryItem } from '#admin/HistoryItem.js';
import type { Page } from '#admin/Page.js';
import type { CatalogueAction } from '#cli/CatalogueAction.js';
import { exitCodes } from '#cli/ExitCodes.js';
import { formatTextTable } from '#cli/FormatTextTable.js';
import { readCount } from '#cli/ReadCount.js';

const DEFAULT_LIMIT = 20;

/** Lists the newest versions of the catalogue. */
export const listHistory: CatalogueAction = async (client, { options, terminal }) => {
  const query = { limit: String(readCount(options, 'limit', DEFAULT_LIMIT)) };
  const { body } = await client.send<Page<HistoryItem>>('/admin/v1/catalogue/history', { query });
  const rows = body.items.map(({ version, author, timeMs }) => [
    version,
    author,
    // A catalogue that was written to the store directly has no time.
    timeMs === 0 ? '-' : new Date(timeMs).toISOString(),
  ]);
  const table = formatTextTable(['version', 'author', 'time'], rows);
  terminal.print(options.json === true ? JSON.stringify(body.items, null, 2) : table);
  return exitCodes.done;
};
