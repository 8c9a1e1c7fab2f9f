/** Both clocks of a VM at one moment, in milliseconds. */
export interface ClockReading {
  /** Stands still while the VM is suspended. */
  readonly monotonicMs: number;
  /** May be set forward or back. */
  readonly wallMs: number;
}
