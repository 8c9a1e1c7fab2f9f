/** Oldest signed message that is accepted. Covers delays and the differences between the VMs' wall clocks. */
export const MESSAGE_AGE_MS = 5_000;
