/** A conditional write of one object. */
export interface PutRequest {
  readonly name: string;
  readonly value: unknown;
  /** Version that the object must still have; 0 if it must not exist. */
  readonly ifVersion: number;
  /** Unique mark of this write, followed by the marks of the object that it is based on. */
  readonly marks: readonly string[];
}
