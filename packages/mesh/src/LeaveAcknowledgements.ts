import type { ServerEntry } from '#mesh/ServerEntry.js';

interface LeaveAcknowledgement {
  readonly incarnation: string;
  readonly state: ServerEntry['state'];
  /** Sequence number of the announcement with which the run began to leave. */
  readonly leaveSequence: number;
  readonly reply: (recorded: boolean) => void;
}

/** Replies to leaving backend servers that wait until the store contains the leave. */
export class LeaveAcknowledgements {
  private waiting: readonly LeaveAcknowledgement[] = [];

  /** Adds a reply that waits until the leave is recorded. Returns a function that ends the wait. */
  public add(acknowledgement: LeaveAcknowledgement): () => void {
    this.waiting = [...this.waiting, acknowledgement];
    return () => this.settle((each) => each === acknowledgement, false);
  }

  /** Sends the replies that a stored entry allows. */
  public noteStored(entry: ServerEntry): void {
    this.settle((each) => isRecorded(entry, each), true);
  }

  private settle(isDue: (each: LeaveAcknowledgement) => boolean, recorded: boolean): void {
    const due = this.waiting.filter((each) => isDue(each));
    this.waiting = this.waiting.filter((each) => !isDue(each));
    for (const { reply } of due) reply(recorded);
  }
}

/** Whether an entry records a leave. A run that drains may become ready and leave again; one that is gone stays so. */
function isRecorded({ incarnation, state, leave }: ServerEntry, wanted: LeaveAcknowledgement): boolean {
  if (incarnation !== wanted.incarnation || leave === undefined) return false;
  return state === 'gone' || (wanted.state !== 'gone' && leave.sequence >= wanted.leaveSequence);
}
