/**
 * Age of a reader's last confirmation from which its followers turn to another source. It is longer than the pause between
 * two probes of the store with the time of a slow answer, and leaves a second of the bound of a configuration to change over.
 */
export const maxReadAgeMs = 1_500;
