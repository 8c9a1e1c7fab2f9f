/** Lets the receiver of a response pause and resume its sender. */
export interface FlowControl {
  readonly pause: () => void;
  readonly resume: () => void;
}
