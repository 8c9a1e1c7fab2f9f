/** How long a crash mark is kept after its last change, in milliseconds. */
export const markRetentionMs = 60_000;
