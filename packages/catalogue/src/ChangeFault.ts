/** A change that its author is not allowed to make. */
export interface ChangeFault {
  /** Kind and name of the changed item, for example `entry kiosk/badges/badgeCheck`. */
  readonly part: string;
  readonly message: string;
}
