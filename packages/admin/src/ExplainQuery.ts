/** Description of a request to explain. */
export interface ExplainQuery {
  readonly team: string;
  readonly service: string;
  readonly class: string;
  /** Empty for a request without a key. */
  readonly key: string;
  /** 0 for the default deadline of the entry. */
  readonly deadlineMs: number;
}
