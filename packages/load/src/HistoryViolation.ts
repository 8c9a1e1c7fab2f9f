/** A rule that a recorded run breaks. */
export interface HistoryViolation {
  readonly rule:
    | 'twoOwners'
    | 'staleToken'
    | 'sharedToken'
    | 'ranTwice'
    | 'refusedButRan'
    | 'foreignResponse'
    | 'wrongContent'
    | 'doubleResponse';
  readonly message: string;
}
