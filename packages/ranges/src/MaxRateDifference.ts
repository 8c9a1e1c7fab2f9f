/** Fraction by which the rates of two VMs' clocks may differ. */
export const MAX_RATE_DIFFERENCE = 0.02;
