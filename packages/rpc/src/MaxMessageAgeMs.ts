/** Maximum age of an accepted signed message. Covers delays and the differences between the VMs' wall clocks. */
export const maxMessageAgeMs = 5_000;
