interface Event {
  readonly atMs: number;
  readonly number: number;
  readonly run: () => void;
}

/** Events of a simulation in the order of their times; equal times in the order of their scheduling. */
export class EventQueue {
  public nowMs = 0;
  private readonly heap: Event[] = [];
  private scheduled = 0;

  public schedule(delayMs: number, run: () => void): void {
    this.scheduled += 1;
    this.heap.push({ atMs: this.nowMs + Math.max(0, delayMs), number: this.scheduled, run });
    this.raise(this.heap.length - 1);
  }

  /** Runs the events up to `endMs`. */
  public runUntil(endMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.atMs > endMs) return;
      const last = this.heap.pop()!;
      if (this.heap.length > 0) {
        this.heap[0] = last;
        this.lower(0);
      }
      this.nowMs = first.atMs;
      first.run();
    }
  }

  private raise(start: number): void {
    let index = start;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  private lower(start: number): void {
    let index = start;
    for (;;) {
      const left = 2 * index + 1;
      let least = index;
      if (left < this.heap.length && this.isBefore(left, least)) least = left;
      if (left + 1 < this.heap.length && this.isBefore(left + 1, least)) least = left + 1;
      if (least === index) return;
      this.swap(index, least);
      index = least;
    }
  }

  private isBefore(left: number, right: number): boolean {
    const first = this.heap[left]!;
    const second = this.heap[right]!;
    return first.atMs === second.atMs ? first.number < second.number : first.atMs < second.atMs;
  }

  private swap(left: number, right: number): void {
    [this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
  }
}
