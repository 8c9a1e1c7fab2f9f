/** Bytes of the body of one request or answer at most; each is held whole in memory. */
export const maxBodyBytes = 8 * 1024 * 1024;
