/** Parsed value of the header `amr-epoch`: the fencing token and the admission window of a shard. */
export interface AdmissionEpoch {
  readonly token: number;
  readonly window: number;
}
