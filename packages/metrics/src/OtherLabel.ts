/** Label of the series that combines all teams or classes without their own series. */
export const otherLabel = 'other';
