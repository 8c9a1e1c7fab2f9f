/** Parsed value of the header `amr-epoch`: fencing token and admission window of a shard. */
export interface AdmissionEpoch {
  readonly token: number;
  readonly window: number;
}
