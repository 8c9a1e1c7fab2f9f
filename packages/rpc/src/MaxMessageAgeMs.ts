/** Oldest signed message that is accepted. Covers delays and the differences between the VMs' wall clocks. */
export const maxMessageAgeMs = 5_000;
