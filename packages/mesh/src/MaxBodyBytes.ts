/** Limit of a request or response body, in bytes; each body is held in memory as a whole. */
export const maxBodyBytes = 8 * 1024 * 1024;
