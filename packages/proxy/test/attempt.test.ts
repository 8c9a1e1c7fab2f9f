import t from 'tap';
import { QuotaClient } from '#admission/QuotaClient.js';
import { PowerOfTwoChoices } from '#balance/PowerOfTwoChoices.js';
import { RandomSource } from '#core/RandomSource.js';
import { SystemClock } from '#core/SystemClock.js';
import { CallerPort } from '#proxy/CallerPort.js';
import { EntryTask } from '#proxy/EntryTask.js';
import type { RoutedRequest } from '#proxy/RoutedRequest.js';
import { quotaConstants } from '#proxy/QuotaConstants.js';
import { createMember } from './CreateMember.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import { createTestCell } from './CreateTestCell.js';
import { sendOrder } from './SendOrder.js';
import { waitUntil } from './WaitUntil.js';

function emitAnswer(order: RoutedRequest, text: string): void {
  const flow = { pause: () => undefined, resume: () => undefined };
  const head = { status: 200, headers: {}, serverId: 'd1', owner: '', epoch: '' };
  order.emit({ type: 'head', head, flow });
  order.emit({ type: 'data', chunk: Buffer.from(text) });
  order.emit({ type: 'end' });
}

t.test('answer of an earlier attempt', async (t) => {
  // A late answer to a cancelled attempt would be mixed with that of the current one.
  const orders: RoutedRequest[] = [];
  const ignore = (): void => undefined;
  const entry: EntryTask = new EntryTask(
    { serverId: 'd1', region: 'r1', failureDomain: 'a' },
    new SystemClock(),
    new RandomSource(1),
    new QuotaClient(quotaConstants, 'd1'),
    new PowerOfTwoChoices(),
    {
      postToOwner: (message) => message.type === 'order' && orders.push(message.order),
      postToForward: ignore,
      postToReceipts: ignore,
      postToQuota: ignore,
    },
    { onEnd: ignore, onReceipt: ignore, onCellNeeded: ignore, onQuotaAsk: ignore },
  );
  const port = new CallerPort((message) => entry.post(message), ignore, ignore);
  t.teardown(() => [entry, port].forEach((part) => part.stop()));
  entry.post({ type: 'catalogue', catalogue: createTestCatalogue() });
  entry.post({ type: 'cell', cell: createTestCell([createMember('d1')], 'd1') });
  const answer = sendOrder(await port.start(0, '127.0.0.1'));
  await waitUntil('the first attempt', () => orders.length === 1);
  const fields = { code: 'shed', step: 'backend', peer: '', ran: 'not run', status: 503 } as const;
  orders[0]!.emit({ type: 'refused', fields });
  await waitUntil('the second attempt', () => orders.length === 2);
  emitAnswer(orders[0]!, 'old');
  emitAnswer(orders[1]!, 'new');
  emitAnswer(orders[0]!, 'old');
  t.match(await answer, { status: 200, text: 'new' });
  t.equal(orders.length, 2);
});
