import type { Clock } from '#core/Clock.js';
import { TickingTask } from '#core/TickingTask.js';
import type { Outcome } from '#delivery/Outcome.js';
import type { PendingReceipt } from '#delivery/PendingReceipt.js';
import { ReceiptTable } from '#delivery/ReceiptTable.js';
import type { ReceiptMessage } from '#proxy/ReceiptMessage.js';
import { writeRefusal } from '#proxy/WriteRefusal.js';

const MAX_PENDING_RECEIPTS = 50_000;
/** A receipt counts as late until this long after its deadline; then its response counts as unconfirmed. */
const RECEIPT_GRACE_MS = 500;
const EXPIRY_INTERVAL_MS = 100;

/** Awaits the receipts of callers, and reports the outcome of each response that required one. */
export class ReceiptTask extends TickingTask<ReceiptMessage> {
  private readonly table = new ReceiptTable(MAX_PENDING_RECEIPTS, RECEIPT_GRACE_MS);

  public constructor(
    clock: Clock,
    private readonly onEnd: (receipt: PendingReceipt, outcome: Outcome) => void,
  ) {
    super(clock);
  }

  /** Starts the timers. */
  public start(): void {
    this.scheduleTicks(EXPIRY_INTERVAL_MS);
  }

  protected override receive(message: ReceiptMessage): void {
    switch (message.type) {
      case 'expect':
        this.reportUnconfirmed(this.table.expect(message.receipt));
        break;
      case 'confirm':
        this.confirm(message);
        break;
      case 'tick':
        this.reportUnconfirmed(this.table.expire(this.clock.monotonicMs()));
        break;
    }
  }

  private reportUnconfirmed(receipts: readonly PendingReceipt[]): void {
    for (const receipt of receipts) this.onEnd(receipt, 'sentUnconfirmed');
  }

  private confirm({ id, team, bytes, res }: Extract<ReceiptMessage, { readonly type: 'confirm' }>): void {
    const result = this.table.confirm(id, team, bytes, this.clock.monotonicMs());
    if (result.kind === 'refused') {
      writeRefusal(res, result.error);
      return;
    }
    if (result.kind === 'counted') this.onEnd(result.receipt, result.outcome);
    const body = JSON.stringify({ outcome: result.outcome });
    res.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) });
    res.end(body);
  }
}
