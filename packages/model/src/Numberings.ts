/** Orders of the processes in a key; servers 1 and 2 differ only in their number and may be swapped. */
export const numberings = { plain: [0, 1, 2, 3], swapped: [0, 2, 1, 3] } as const;
