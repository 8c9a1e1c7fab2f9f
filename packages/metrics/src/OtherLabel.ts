/** Label of the teams or classes that have no series of their own. */
export const otherLabel = 'other';
