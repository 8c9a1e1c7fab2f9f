/** Number of hash slots of each placement; a power of two. */
export const slotCount = 128;
