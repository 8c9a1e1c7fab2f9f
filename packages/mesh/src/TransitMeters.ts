import type { ClockReading } from '#mesh/ClockReading.js';
import { TransitMeter } from '#mesh/TransitMeter.js';

/** Number of peers that are remembered; above it, the one that was added first is forgotten. */
const MAX_PEERS = 8_192;

/**
 * The delays of messages by the IP address of their sender. They outlast sessions: the first message of a new session
 * may be a copy that waited to be read for as long as its session was thought to be lost.
 */
export class TransitMeters {
  private readonly meters = new Map<string, TransitMeter>();

  /** Returns the delay of a message from `peer`, in milliseconds. */
  public measureMs(peer: string, sent: ClockReading, received: ClockReading): number {
    const meter = this.meters.get(peer) ?? this.add(peer);
    return meter.measureMs(sent, received);
  }

  private add(peer: string): TransitMeter {
    const [oldest] = this.meters.keys();
    if (this.meters.size >= MAX_PEERS && oldest !== undefined) this.meters.delete(oldest);
    const meter = new TransitMeter();
    this.meters.set(peer, meter);
    return meter;
  }
}
