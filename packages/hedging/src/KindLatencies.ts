import { LatencyWindow } from '#hedging/LatencyWindow.js';

/** Maximum number of kinds; above it, the kind that was added first is forgotten. */
const MAX_KINDS = 256;

/** The latest latencies of each kind of request. */
export class KindLatencies {
  private readonly windows = new Map<string, LatencyWindow>();

  /** Returns the window of a kind, which is created if it is new. */
  public find(kind: string): LatencyWindow {
    const known = this.windows.get(kind);
    if (known !== undefined) return known;
    const [oldest] = this.windows.keys();
    if (this.windows.size >= MAX_KINDS && oldest !== undefined) this.windows.delete(oldest);
    const window = new LatencyWindow();
    this.windows.set(kind, window);
    return window;
  }
}
