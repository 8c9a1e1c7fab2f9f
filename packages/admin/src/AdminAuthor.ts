/** The authenticated sender of a request to the administration API. */
export interface AdminAuthor {
  readonly name: string;
  readonly operator: boolean;
}
