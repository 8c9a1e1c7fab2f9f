/** Cancels a scheduled callback; calling it again has no effect. */
export type Cancel = () => void;
