/** Lets the receiver of an answer hold back its sender. */
export interface FlowControl {
  readonly pause: () => void;
  readonly resume: () => void;
}
