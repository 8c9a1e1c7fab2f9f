/** A change that its author is not allowed to make. */
export interface ChangeFault {
  /** Changed part: `entry kiosk/badges/badgeCheck`. */
  readonly part: string;
  readonly message: string;
}
