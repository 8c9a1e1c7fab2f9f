import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import type { TestNode } from './TestNode.js';

interface PostedRequest {
  readonly events: readonly RoutedRequestEvent[];
  /** `ran: code` of the refusal or failure; empty after a complete response; undefined while the request is open. */
  readonly end: () => string | undefined;
}

/** Posts a request of the class `look` or, with an epoch, `pay` to the owner task, as the entry task does. */
export function postRequest(node: TestNode, orderId: string, epoch = '', id = ''): PostedRequest {
  const events: RoutedRequestEvent[] = [];
  const requestClass = epoch === '' ? 'look' : 'pay';
  const entry = createTestCatalogue().catalogue.entries.find(({ class: name }) => name === requestClass)!;
  const head = {
    requestId: orderId,
    method: 'POST',
    service: 'badges',
    path: '/x',
    team: 'alpha',
    class: requestClass,
    key: 'k',
    deadlineMs: 15_000,
    idempotencyKey: id,
    epoch,
    contentLength: 4,
    headers: {},
  };
  const request = {
    orderId,
    head,
    entry,
    deadlineAtMs: node.clock.monotonicMs() + 15_000,
    body: Buffer.from('levy'),
    emit: (event: RoutedRequestEvent) => void events.push(event),
  };
  node.path.owner.post({ type: 'order', request, needsOwnership: true, graceMs: 0 });
  const end = (): string | undefined => {
    const last = events.at(-1);
    if (last?.type === 'end') return '';
    return last?.type === 'refused' || last?.type === 'broken'
      ? `${last.fields.ran}: ${last.fields.code}`
      : undefined;
  };
  return { events, end };
}
