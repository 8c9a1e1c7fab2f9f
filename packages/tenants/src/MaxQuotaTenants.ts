/** Limit of the tenants in one `quota` call; the remaining ones go into the next call. */
export const maxQuotaTenants = 256;
