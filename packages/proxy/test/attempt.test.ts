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
import { sendRequest } from './SendRequest.js';
import { waitUntil } from './WaitUntil.js';

function emitResponse(request: RoutedRequest, text: string): void {
  const flow = { pause: () => undefined, resume: () => undefined };
  const head = { status: 200, headers: {}, serverId: 'd1', owner: '', epoch: '' };
  request.emit({ type: 'head', head, flow });
  request.emit({ type: 'data', chunk: Buffer.from(text) });
  request.emit({ type: 'end' });
}

t.test('late response to an earlier attempt is dropped', async (t) => {
  // Otherwise its chunks would be mixed into the response to the current attempt.
  const requests: RoutedRequest[] = [];
  const ignore = (): void => undefined;
  const entry: EntryTask = new EntryTask(
    { serverId: 'd1', region: 'r1', failureDomain: 'a' },
    new SystemClock(),
    new RandomSource(1),
    new QuotaClient(quotaConstants, 'd1'),
    new PowerOfTwoChoices(),
    {
      postToOwner: (message) => message.type === 'order' && requests.push(message.request),
      postToForward: ignore,
      postToReceipts: ignore,
      postToQuota: ignore,
    },
    { onEnd: ignore, onReceipt: ignore, onCellNeeded: ignore, onQuotaRequest: ignore },
  );
  const port = new CallerPort(new SystemClock(), (message) => entry.post(message), ignore, ignore);
  t.teardown(() => [entry, port].forEach((part) => part.stop()));
  entry.post({ type: 'catalogue', catalogue: createTestCatalogue() });
  entry.post({ type: 'cell', cell: createTestCell([createMember('d1')], 'd1') });
  const response = sendRequest(await port.start(0, '127.0.0.1'));
  await waitUntil('the first attempt', () => requests.length === 1);
  const fields = { code: 'shed', step: 'backend', peer: '', ran: 'not run', status: 503 } as const;
  requests[0]!.emit({ type: 'refused', fields });
  await waitUntil('the second attempt', () => requests.length === 2);
  emitResponse(requests[0]!, 'old');
  emitResponse(requests[1]!, 'new');
  emitResponse(requests[0]!, 'old');
  t.match(await response, { status: 200, text: 'new' });
  t.equal(requests.length, 2);
});
