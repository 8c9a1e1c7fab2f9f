/**
 * Marks of writers kept with an object. A writer whose reply was lost finds its mark if it reads the object before
 * this many further changes.
 */
export const maxWriteMarks = 16;
