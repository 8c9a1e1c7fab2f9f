/** Label of the tenants or classes that have no series of their own. */
export const otherLabel = 'other';
