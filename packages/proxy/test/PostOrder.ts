import type { RoutedRequestEvent } from '#proxy/RoutedRequestEvent.js';
import { createTestCatalogue } from './CreateTestCatalogue.js';
import type { TestNode } from './TestNode.js';

interface PostedOrder {
  readonly events: readonly RoutedRequestEvent[];
  /** Code of the refusal or failure; empty for an answer; undefined while the order is open. */
  readonly end: () => string | undefined;
}

/** Posts an order of the class `look` or, with an epoch, `pay` to the owner task, as the entry task does. */
export function postOrder(node: TestNode, orderId: string, epoch = '', id = ''): PostedOrder {
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
  const order = {
    orderId,
    head,
    entry,
    deadlineAtMs: node.clock.monotonicMs() + 15_000,
    body: Buffer.from('levy'),
    emit: (event: RoutedRequestEvent) => void events.push(event),
  };
  node.path.owner.post({ type: 'order', order, needsOwnership: true, graceMs: 0 });
  const end = (): string | undefined => {
    const last = events.at(-1);
    if (last?.type === 'end') return '';
    return last?.type === 'refused' || last?.type === 'broken'
      ? `${last.fields.ran}: ${last.fields.code}`
      : undefined;
  };
  return { events, end };
}
